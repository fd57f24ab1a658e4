/* entryd.c -- walnutgate-entryd, with this project's own header names */
#include "entryd.h"

int main(int argc, char** argv) {
    return wg_entryd_main("walnutgate-entryd", NULL, argc, argv);
}

/* entryd.c -- walnutgate-entryd with the default header names */
#include "entryd.h"

int main(int argc, char** argv) {
    return wg_entryd_main("walnutgate-entryd", NULL, argc, argv);
}

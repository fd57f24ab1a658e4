/* wg_entry_error.c -- error answers of an entry host

   Formatted without printf and without allocations: an overloaded host sends hundreds per second,
   and printf would take most of the time of a refusal on arrival. */
#include "wg_entry_internal.h"

#include <string.h>

enum {
    WG_ERROR_TEXT_MAX = 512, /* bytes of an error answer without the id of its request */
    WG_ERROR_CODE_MAX = 64   /* bytes of its code; leaves room for the other fields */
};

/* ---- helpers --------------------------------------------------------------------------------- */

/* Appends decimal digits; returns the end. */
static char* wg_put_number(char* at, size_t number) {
    char reversed[3 * sizeof number];
    int num = 0;
    do {
        reversed[num++] = (char)('0' + number % 10);
        number /= 10;
    } while (number > 0);
    while (num > 0) {
        *at++ = reversed[--num];
    }
    return at;
}

/* In seconds, with two decimal places. */
static char* wg_put_retry_after(char* at, double seconds) {
    size_t hundredths = (size_t)(seconds * 100 + 0.5);
    at = g_stpcpy(at, "Retry-After: ");
    at = wg_put_number(at, hundredths / 100);
    *at++ = '.';
    *at++ = (char)('0' + hundredths / 10 % 10);
    *at++ = (char)('0' + hundredths % 10);
    return g_stpcpy(at, "\r\n");
}

static char* wg_put_id(char* at, const wg_entry_names* names, const char* id) {
    at = g_stpcpy(at, names->request_id);
    at = g_stpcpy(at, ": ");
    at = g_stpcpy(at, id);
    return g_stpcpy(at, "\r\n");
}

static char* wg_put_body(char* at, const char* code, const char* verdict) {
    at = g_stpcpy(at, "{\"code\":\"");
    at = g_stpcpy(at, code);
    at = g_stpcpy(at, "\",\"verdict\":\"");
    at = g_stpcpy(at, verdict);
    return g_stpcpy(at, "\"}");
}

/* ---- functions of the library ---------------------------------------------------------------- */

void wg_client_write_error(wg_client* client, const wg_error_answer* error) {
    char text[WG_ERROR_TEXT_MAX + 2 * WG_NAME_MAX];
    char body[WG_ERROR_TEXT_MAX];
    const wg_entry_names* names = client->entry->names;
    WG_ASSERT(strlen(error->code) <= WG_ERROR_CODE_MAX);
    WG_ASSERT(strlen(names->request_id) < WG_NAME_MAX);
    size_t size = (size_t)(wg_put_body(body, error->code, wg_verdict_name(error->verdict)) - body);
    char* at = g_stpcpy(text, "HTTP/1.1 ");
    at = wg_put_number(at, (size_t)error->status);
    *at++ = ' ';
    at = g_stpcpy(at, wgh_reason(error->status));
    at = g_stpcpy(at, "\r\nContent-Type: application/json\r\n");
    at = error->id && error->id[0] ? wg_put_id(at, names, error->id) : at;
    at = error->retry_after > 0 ? wg_put_retry_after(at, error->retry_after) : at;
    at = g_stpcpy(at, "Content-Length: ");
    at = wg_put_number(at, size);
    at = g_stpcpy(at, error->keep ? "\r\n\r\n" : "\r\nConnection: close\r\n\r\n");
    at = error->head_only ? at : g_stpcpy(at, body);
    struct evbuffer* out = evbuffer_new();
    evbuffer_add(out, text, (size_t)(at - text));
    wg_client_write(client, out);
    evbuffer_free(out);
}

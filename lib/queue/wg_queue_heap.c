/* wg_queue_heap.c -- see wg_queue_heap.h */
#include "wg_queue_heap.h"

/* Ties are broken by slot, so that runs are reproducible. */
static bool _wgq_heap_less(const _wgq_heap_t* heap, int a, int b) {
    if (heap->keys[a] != heap->keys[b]) {
        return heap->keys[a] < heap->keys[b];
    }
    return a < b;
}

static void _wgq_heap_set(_wgq_heap_t* heap, int place, int slot) {
    heap->items[place] = slot;
    heap->places[slot] = place + 1;
}

static void _wgq_heap_up(_wgq_heap_t* heap, int place) {
    int slot = heap->items[place];
    while (place > 0) {
        int parent = (place - 1) / 2;
        if (!_wgq_heap_less(heap, slot, heap->items[parent])) {
            break;
        }
        _wgq_heap_set(heap, place, heap->items[parent]);
        place = parent;
    }
    _wgq_heap_set(heap, place, slot);
}

static void _wgq_heap_down(_wgq_heap_t* heap, int place) {
    int slot = heap->items[place];
    for (;;) {
        int child = 2 * place + 1;
        if (child >= heap->num) {
            break;
        }
        if (child + 1 < heap->num &&
            _wgq_heap_less(heap, heap->items[child + 1], heap->items[child])) {
            child++;
        }
        if (!_wgq_heap_less(heap, heap->items[child], slot)) {
            break;
        }
        _wgq_heap_set(heap, place, heap->items[child]);
        place = child;
    }
    _wgq_heap_set(heap, place, slot);
}

void _wgq_heap_setup(_wgq_heap_t* heap, int slots) {
    *heap = (_wgq_heap_t){0};
    heap->items = g_new0(int, slots);
    heap->places = g_new0(int, slots);
    heap->keys = g_new0(int64_t, slots);
}

void _wgq_heap_shutdown(_wgq_heap_t* heap) {
    g_free(heap->items);
    g_free(heap->places);
    g_free(heap->keys);
}

void _wgq_heap_put(_wgq_heap_t* heap, int slot, int64_t key) {
    heap->keys[slot] = key;
    if (!_wgq_heap_has(heap, slot)) {
        _wgq_heap_set(heap, heap->num++, slot);
    }
    _wgq_heap_up(heap, heap->places[slot] - 1);
    _wgq_heap_down(heap, heap->places[slot] - 1);
}

void _wgq_heap_remove(_wgq_heap_t* heap, int slot) {
    if (!_wgq_heap_has(heap, slot)) {
        return;
    }
    int place = heap->places[slot] - 1;
    heap->places[slot] = 0;
    int last = heap->items[--heap->num];
    if (last == slot) {
        return;
    }
    _wgq_heap_set(heap, place, last);
    _wgq_heap_up(heap, place);
    _wgq_heap_down(heap, heap->places[last] - 1);
}

bool _wgq_heap_has(const _wgq_heap_t* heap, int slot) {
    return heap->places[slot] != 0;
}

int _wgq_heap_top(const _wgq_heap_t* heap) {
    return heap->num ? heap->items[0] : -1;
}

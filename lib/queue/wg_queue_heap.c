/* wg_queue_heap.c -- see wg_queue_heap.h */
#include "wg_queue_heap.h"

/* Ties are broken by slot, so that runs are reproducible. */
static bool _wgq_heap_less(const _wgq_heap_t* heap, int a, int b) {
    if (heap->keys[a] != heap->keys[b]) {
        return heap->keys[a] < heap->keys[b];
    }
    return a < b;
}

static void _wgq_heap_set(_wgq_heap_t* heap, int position, int slot) {
    heap->items[position] = slot;
    heap->positions[slot] = position + 1;
}

static void _wgq_heap_up(_wgq_heap_t* heap, int position) {
    int slot = heap->items[position];
    while (position > 0) {
        int parent = (position - 1) / 2;
        if (!_wgq_heap_less(heap, slot, heap->items[parent])) {
            break;
        }
        _wgq_heap_set(heap, position, heap->items[parent]);
        position = parent;
    }
    _wgq_heap_set(heap, position, slot);
}

static void _wgq_heap_down(_wgq_heap_t* heap, int position) {
    int slot = heap->items[position];
    for (;;) {
        int child = 2 * position + 1;
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
        _wgq_heap_set(heap, position, heap->items[child]);
        position = child;
    }
    _wgq_heap_set(heap, position, slot);
}

void _wgq_heap_setup(_wgq_heap_t* heap, int slots) {
    *heap = (_wgq_heap_t){0};
    heap->items = g_new0(int, slots);
    heap->positions = g_new0(int, slots);
    heap->keys = g_new0(int64_t, slots);
}

void _wgq_heap_shutdown(_wgq_heap_t* heap) {
    g_free(heap->items);
    g_free(heap->positions);
    g_free(heap->keys);
}

void _wgq_heap_put(_wgq_heap_t* heap, int slot, int64_t key) {
    heap->keys[slot] = key;
    if (!_wgq_heap_has(heap, slot)) {
        _wgq_heap_set(heap, heap->num++, slot);
    }
    _wgq_heap_up(heap, heap->positions[slot] - 1);
    _wgq_heap_down(heap, heap->positions[slot] - 1);
}

void _wgq_heap_remove(_wgq_heap_t* heap, int slot) {
    if (!_wgq_heap_has(heap, slot)) {
        return;
    }
    int position = heap->positions[slot] - 1;
    heap->positions[slot] = 0;
    int last = heap->items[--heap->num];
    if (last == slot) {
        return;
    }
    _wgq_heap_set(heap, position, last);
    _wgq_heap_up(heap, position);
    _wgq_heap_down(heap, heap->positions[last] - 1);
}

bool _wgq_heap_has(const _wgq_heap_t* heap, int slot) {
    return heap->positions[slot] != 0;
}

int _wgq_heap_top(const _wgq_heap_t* heap) {
    return heap->num ? heap->items[0] : -1;
}

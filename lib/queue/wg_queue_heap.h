#pragma once
/* wg_queue_heap.h -- indexed binary heap over slots, smallest key first; private to lib/queue */
#include "wg_base.h"

typedef struct {
    int* items;     /* slots in heap order */
    int* positions; /* index in `items` + 1, by slot; 0: not in the heap */
    int64_t* keys;  /* by slot */
    int num;
} _wgq_heap_t;

void _wgq_heap_setup(_wgq_heap_t* heap, int slots);
void _wgq_heap_shutdown(_wgq_heap_t* heap);
/* Inserts a slot, or changes its key. */
void _wgq_heap_put(_wgq_heap_t* heap, int slot, int64_t key);
void _wgq_heap_remove(_wgq_heap_t* heap, int slot);
bool _wgq_heap_has(const _wgq_heap_t* heap, int slot);
/* Slot with the smallest key, or -1. */
int _wgq_heap_top(const _wgq_heap_t* heap);

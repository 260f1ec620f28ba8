/**
 * @file record.c
 * Usage per customer and executions per request id.
 */
#include "standin/record.h"
#include "transport/clock.h"
#include <stdio.h>
#include <stdlib.h>

static void *calloc_or_abort (size_t size);

void
record_init (struct record *record, uint32_t slots)
{
  memset (record, 0, sizeof (*record));
  record->slots = slots;
  record->busy_changed_ns = record_now_ns ();
}

void
record_finish (struct record *record)
{
  struct record_customer *customer = record->customers;
  struct record_execution *execution = record->executions;
  void *next;

  /* HASH_CLEAR frees the tables but not the entries, which stay linked. */
  HASH_CLEAR (hh, record->customers);
  HASH_CLEAR (hh, record->executions);
  for (; customer != NULL; customer = next)
    {
      next = customer->hh.next;
      free (customer);
    }
  for (; execution != NULL; execution = next)
    {
      next = execution->hh.next;
      free (execution);
    }
}

struct record_customer *
record_customer (struct record *record, const char *name)
{
  struct record_customer *customer;
  char key[RECORD_NAME_SIZE];

  snprintf (key, sizeof (key), "%s", name);
  HASH_FIND_STR (record->customers, key, customer);
  if (customer != NULL)
    return customer;
  customer = calloc_or_abort (sizeof (*customer));
  memcpy (customer->name, key, sizeof (key));
  HASH_ADD_STR (record->customers, name, customer);
  return customer;
}

void
record_add_execution (struct record *record, const char *request_id)
{
  struct record_execution *execution;
  char key[RECORD_NAME_SIZE];

  record->requests++;
  snprintf (key, sizeof (key), "%s", request_id);
  HASH_FIND_STR (record->executions, key, execution);
  if (execution == NULL)
    {
      execution = calloc_or_abort (sizeof (*execution));
      memcpy (execution->request_id, key, sizeof (key));
      HASH_ADD_STR (record->executions, request_id, execution);
    }
  if (execution->count++ > 0)
    record->duplicates++;
}

uint32_t
record_executions (const struct record *record, const char *request_id)
{
  struct record_execution *execution;

  HASH_FIND_STR (record->executions, request_id, execution);
  return execution == NULL ? 0 : execution->count;
}

void
record_add_busy (struct record *record, int32_t change)
{
  uint64_t now_ns = record_now_ns ();

  record->busy_us += record->busy * (now_ns - record->busy_changed_ns) / 1000;
  record->busy_changed_ns = now_ns;
  record->busy = (uint32_t)((int32_t)record->busy + change);
}

json_t *
record_stats (struct record *record)
{
  json_t *customers = json_object ();
  const struct record_customer *customer;

  record_add_busy (record, 0);
  for (customer = record->customers; customer != NULL;
       customer = customer->hh.next)
    json_object_set_new (
        customers, customer->name,
        json_pack ("{s:I s:I s:I s:I s:I s:I s:I s:I s:I}", "running",
                   (json_int_t)customer->running, "waiting",
                   (json_int_t)customer->waiting, "started",
                   (json_int_t)customer->started, "finished",
                   (json_int_t)customer->finished, "cancelled",
                   (json_int_t)customer->cancelled, "input_tokens",
                   (json_int_t)customer->input_tokens, "output_tokens",
                   (json_int_t)customer->output_tokens, "cost",
                   (json_int_t)customer->cost, "slot_us",
                   (json_int_t)customer->slot_us));
  return json_pack (
      "{s:I s:I s:I s:I s:I s:I s:I s:I s:I s:I s:o}", "time_us",
      (json_int_t)(record_now_ns () / 1000), "requests",
      (json_int_t)record->requests, "duplicates",
      (json_int_t)record->duplicates, "cancelled",
      (json_int_t)record->cancelled, "refused", (json_int_t)record->refused,
      "oversubscribed", (json_int_t)record->oversubscribed, "resumed",
      (json_int_t)record->resumed, "slots", (json_int_t)record->slots, "busy",
      (json_int_t)record->busy, "busy_us", (json_int_t)record->busy_us,
      "customers", customers);
}

uint64_t
record_now_ns (void)
{
  struct clock clock;

  clock_init_real (&clock);
  return clock_now_ns (&clock);
}

static void *
calloc_or_abort (size_t size)
{
  void *memory = calloc (1, size);

  if (memory == NULL)
    abort ();
  return memory;
}

/**
 * @file fakefleet_load.c
 * Customers, upstreams and measurements of the fake fleet.
 */
#include "support/fakefleet_int.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NS_PER_MS UINT64_C (1000000)
#define REPORT_MS 20 /* between progress events of a response */

static void submit_request (struct fakefleet *sim, uint32_t customer,
                            uint32_t instance);
static int add_net_cost (void *user, struct ledger_origin origin,
                         const struct ledger_entry *entry);
static bool has_waiting_requests (const struct fakefleet *sim,
                                  uint32_t customer);

static void
submit_request (struct fakefleet *sim, uint32_t customer, uint32_t instance)
{
  const struct fakefleet_customer *load = &sim->customers[customer];
  struct dispatch_event event = { .kind = DISPATCH_ARRIVED };
  struct fakefleet_request *request;
  uint32_t tokens = load->output_tokens;
  char name[CATALOG_NAME_SIZE];

  sim->requests = realloc (sim->requests,
                           (sim->request_count + 1) * sizeof *sim->requests);
  if (load->second_output_tokens != 0 && sim->request_count % 2 == 1)
    tokens = load->second_output_tokens;
  tokens -= (uint32_t)rng_below (&sim->rng,
                                 tokens / FAKEFLEET_JITTER_DIVISOR + 1);
  request = &sim->requests[sim->request_count++];
  *request = (struct fakefleet_request){ customer, instance, tokens };
  snprintf (name, sizeof name, "c%u", customer);
  event.request = sim->request_count;
  event.u.arrival.customer_id = catalog_id (name);
  event.u.arrival.profile_id = catalog_id (name);
  event.u.arrival.input_tokens = FAKEFLEET_INPUT_TOKENS;
  sim->outstanding[customer][instance]++;
  fakefleet_handle (&sim->instances[instance], &event);
}

void
fakefleet_submit_requests (struct fakefleet *sim)
{
  uint32_t c;
  uint32_t n;

  for (c = 0; c < sim->config.customer_count; c++)
    {
      const struct fakefleet_customer *load = &sim->customers[c];

      if (load->busy_idle_ms != 0
          && sim->now_ns / NS_PER_MS / load->busy_idle_ms % 2 == 1)
        continue;
      for (n = 0; n < sim->config.instance_count; n++)
        while (sim->instances[n].up && !sim->instances[n].paused
               && (load->instance_mask >> n & 1) != 0
               && sim->outstanding[c][n] < load->outstanding)
          submit_request (sim, c, n);
    }
}

void
fakefleet_advance_attempts (struct fakefleet *sim)
{
  size_t i = 0;

  while (i < sim->attempt_count)
    {
      struct fakefleet_attempt attempt = sim->attempts[i];
      const struct fakefleet_request *request
          = &sim->requests[attempt.handle - 1];
      struct fakefleet_instance *instance = &sim->instances[request->instance];
      struct dispatch_event event = { .kind = DISPATCH_PROGRESS,
                                      .request = attempt.handle,
                                      .attempt = attempt.number };

      if (attempt.done_ms < attempt.total_ms)
        {
          double cost = FAKEFLEET_INPUT_TOKENS
                        + FAKEFLEET_TOKEN_COST * request->tokens;

          attempt.done_ms++;
          sim->attempts[i] = attempt;
          sim->normalised_service[request->customer]
              += cost / attempt.total_ms
                 / sim->customers[request->customer].weight;
        }
      event.u.progress.output_tokens
          = (uint64_t)request->tokens * attempt.done_ms / attempt.total_ms;
      i++;
      if (instance->paused)
        continue;
      if (attempt.done_ms == attempt.total_ms)
        {
          event.kind = DISPATCH_COMPLETED;
          sim->completed_cost[request->customer]
              += FAKEFLEET_INPUT_TOKENS
                 + FAKEFLEET_TOKEN_COST * request->tokens;
          sim->attempts[--i] = sim->attempts[--sim->attempt_count];
        }
      if (attempt.done_ms == attempt.total_ms
          || (attempt.done_ms > 0 && attempt.done_ms % REPORT_MS == 0))
        fakefleet_handle (instance, &event);
    }
}

static bool
has_waiting_requests (const struct fakefleet *sim, uint32_t customer)
{
  char name[CATALOG_NAME_SIZE];
  struct dispatch_demand demands[FAKEFLEET_CUSTOMERS_MAX];
  uint32_t n;
  size_t i;

  snprintf (name, sizeof name, "c%u", customer);
  for (n = 0; n < sim->config.instance_count; n++)
    {
      const struct fakefleet_instance *instance = &sim->instances[n];
      size_t count = instance->up ? dispatch_list_demands (
                         instance->dispatch, demands, FAKEFLEET_CUSTOMERS_MAX)
                                  : 0;

      for (i = 0; i < count; i++)
        if (demands[i].customer_id == catalog_id (name)
            && demands[i].waiting > 0)
          return true;
    }
  return false;
}

void
fakefleet_sample (struct fakefleet *sim)
{
  uint32_t running[FAKEFLEET_UPSTREAMS_MAX] = { 0 };
  bool waiting = false;
  size_t i;
  uint32_t c;
  uint32_t d;
  uint32_t u;

  for (c = 0; c < sim->config.customer_count; c++)
    {
      bool queued = has_waiting_requests (sim, c);

      waiting = waiting || queued;
      if (!queued)
        sim->last_service_ns[c] = sim->now_ns;
      if (sim->now_ns - sim->last_service_ns[c] > sim->longest_wait_ns[c])
        sim->longest_wait_ns[c] = sim->now_ns - sim->last_service_ns[c];
      for (d = 0; d < c; d++)
        {
          double difference
              = sim->normalised_service[c] - sim->normalised_service[d];

          sim->gap_min[c][d] = difference < sim->gap_min[c][d]
                                   ? difference
                                   : sim->gap_min[c][d];
          sim->gap_max[c][d] = difference > sim->gap_max[c][d]
                                   ? difference
                                   : sim->gap_max[c][d];
        }
    }
  for (i = 0; i < sim->attempt_count; i++)
    if (sim->attempts[i].done_ms < sim->attempts[i].total_ms)
      running[sim->attempts[i].upstream]++;
  for (u = 0; u < sim->config.upstream_count; u++)
    {
      uint32_t slots = sim->upstreams[u].slots;

      if (running[u] > slots && running[u] - slots > sim->oversubscribed)
        sim->oversubscribed = running[u] - slots;
      sim->available_slot_ms += waiting ? slots : 0;
      sim->busy_slot_ms += !waiting             ? 0
                           : running[u] < slots ? running[u]
                                                : slots;
    }
}

void
fakefleet_reset_measurements (struct fakefleet *sim)
{
  uint32_t c;

  memset (sim->normalised_service, 0, sizeof sim->normalised_service);
  memset (sim->gap_min, 0, sizeof sim->gap_min);
  memset (sim->gap_max, 0, sizeof sim->gap_max);
  memset (sim->longest_wait_ns, 0, sizeof sim->longest_wait_ns);
  for (c = 0; c < FAKEFLEET_CUSTOMERS_MAX; c++)
    sim->last_service_ns[c] = sim->now_ns;
  sim->available_slot_ms = 0;
  sim->busy_slot_ms = 0;
  sim->oversubscribed = 0;
}

double
fakefleet_service_gap (const struct fakefleet *sim)
{
  double gap = 0;
  uint32_t c;
  uint32_t d;

  for (c = 0; c < sim->config.customer_count; c++)
    for (d = 0; d < c; d++)
      if (sim->customers[c].busy_idle_ms == 0
          && sim->customers[d].busy_idle_ms == 0
          && sim->gap_max[c][d] - sim->gap_min[c][d] > gap)
        gap = sim->gap_max[c][d] - sim->gap_min[c][d];
  return gap;
}

double
fakefleet_utilisation (const struct fakefleet *sim)
{
  return sim->available_slot_ms == 0
             ? 1
             : (double)sim->busy_slot_ms / (double)sim->available_slot_ms;
}

uint32_t
fakefleet_capacity (const struct fakefleet *sim, uint32_t upstream)
{
  uint32_t capacity = 0;
  uint32_t n;

  for (n = 0; n < sim->config.instance_count; n++)
    {
      const struct slots_entry *entry
          = sim->instances[n].up ? slots_find (&sim->instances[n].slots,
                                               sim->upstreams[upstream].id)
                                 : NULL;

      if (entry != NULL && sim->now_ns < entry->expiry_ns)
        capacity
            += entry->capacity > entry->busy ? entry->capacity : entry->busy;
    }
  return capacity;
}

uint32_t
fakefleet_busy (const struct fakefleet *sim, uint32_t instance)
{
  const struct slots_entry *entry = sim->instances[instance].slots.entries;
  uint32_t busy = 0;

  for (; entry != NULL; entry = entry->hh.next)
    busy += entry->busy;
  return busy;
}

static int
add_net_cost (void *user, struct ledger_origin origin,
              const struct ledger_entry *entry)
{
  struct ledger_entry *sum = user;

  (void)origin;
  if (entry->customer_id == sum->customer_id)
    sum->charged += entry->charged - entry->refunded;
  return 0;
}

uint64_t
fakefleet_ledger_cost (const struct fakefleet *sim, uint32_t instance,
                       uint32_t customer)
{
  struct ledger_entry sum = { 0 };
  char name[CATALOG_NAME_SIZE];

  snprintf (name, sizeof name, "c%u", customer);
  sum.customer_id = catalog_id (name);
  ledger_visit (sim->instances[instance].ledger, add_net_cost, &sum);
  return sum.charged * sim->customers[customer].weight / LEDGER_SCALE;
}

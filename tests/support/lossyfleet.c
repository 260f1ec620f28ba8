/**
 * @file lossyfleet.c
 * Instances, links and load of the fleet over lossy links.
 */
#include "support/lossyfleet.h"
#include <CUnit/CUnit.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_MS 10 /* between ticks of a dispatcher */

static const char *const customers[2] = { "ana", "bruno" };

static void fill_catalog (struct catalog *catalog);
static void instance_stop (struct lossyfleet_instance *instance);
static void deliver_frames (struct lossyfleet *sim);
static void complete_requests (struct lossyfleet *sim);
static void handle_event (struct lossyfleet_instance *instance,
                          const struct dispatch_event *event);
static void start_attempt (struct lossyfleet_instance *instance,
                           const struct dispatch_action *action);
static void submit_requests (struct lossyfleet *sim,
                             struct lossyfleet_instance *instance);
static void submit_request (struct lossyfleet_instance *instance,
                            uint32_t customer);
static void update_oversubscription (struct lossyfleet *sim);
static int on_send (void *user, uint64_t instance_id,
                    const struct message *message);
static void enqueue_frame (struct lossyfleet *sim, uint32_t from, uint32_t to,
                           const struct message *message);
static uint32_t random_below (struct lossyfleet *sim, uint32_t below);
static uint64_t now_ns (const struct lossyfleet *sim);

void
lossyfleet_init (struct lossyfleet *sim, uint32_t seed)
{
  uint32_t i;
  uint32_t j;

  memset (sim, 0, sizeof *sim);
  sim->seed = seed;
  sim->now_ms = 1000;
  sim->delay_ms_max = 1;
  sim->service_ms = 40;
  for (i = 0; i < LOSSYFLEET_INSTANCES; i++)
    {
      sim->instances[i].sim = sim;
      sim->instances[i].number = i;
      snprintf (sim->instances[i].name, sizeof sim->instances[i].name,
                "router-%u", i);
      lossyfleet_start (sim, i);
    }
  for (i = 0; i < LOSSYFLEET_INSTANCES; i++)
    for (j = i + 1; j < LOSSYFLEET_INSTANCES; j++)
      lossyfleet_connect (sim, i, j);
}

void
lossyfleet_finish (struct lossyfleet *sim)
{
  uint32_t i;

  for (i = 0; i < LOSSYFLEET_INSTANCES; i++)
    if (sim->instances[i].fleet != NULL)
      instance_stop (&sim->instances[i]);
  for (i = 0; i < sim->frame_count; i++)
    peercodec_buffer_finish (&sim->frames[i].buffer);
}

void
lossyfleet_start (struct lossyfleet *sim, uint32_t number)
{
  struct lossyfleet_instance *instance = &sim->instances[number];
  struct fleet_config fleet = { .exchange_interval_ms = LOSSYFLEET_INTERVAL_MS,
                                .lease_ms = LOSSYFLEET_LEASE_MS,
                                .peers_expected = LOSSYFLEET_INSTANCES - 1,
                                .catalog = &instance->catalog,
                                .slots = &instance->slots,
                                .sender = { on_send, instance } };
  struct dispatch_config dispatch = { .availability_zone = "a",
                                      .limits = { .waiting_max = 100000 },
                                      .placement = &placement_least_busy,
                                      .catalog = &instance->catalog,
                                      .slots = &instance->slots };

  instance->incarnation = sim->now_ms;
  fill_catalog (&instance->catalog);
  slots_init (&instance->slots);
  instance->ledger = ledger_new ((struct ledger_origin){
      catalog_id (instance->name), instance->incarnation });
  dispatch.ledger = instance->ledger;
  instance->dispatch = dispatch_new (&dispatch);
  fleet.ledger = instance->ledger;
  fleet.dispatch = instance->dispatch;
  fleet.self.instance_id = catalog_id (instance->name);
  fleet.self.incarnation = instance->incarnation;
  memcpy (fleet.self.instance, instance->name, sizeof fleet.self.instance);
  instance->fleet = fleet_new (&fleet);
  CU_ASSERT_PTR_NOT_NULL_FATAL (instance->fleet);
  dispatch_set_peer_demand (instance->dispatch, fleet_peer_demand,
                            instance->fleet);
  fleet_catalog_changed (instance->fleet, now_ns (sim));
}

void
lossyfleet_kill (struct lossyfleet *sim, uint32_t number)
{
  uint32_t i;

  for (i = 0; i < LOSSYFLEET_INSTANCES; i++)
    if (i != number && sim->instances[i].fleet != NULL)
      fleet_peer_down (sim->instances[i].fleet,
                       catalog_id (sim->instances[number].name), now_ns (sim));
  for (i = 0; i < sim->request_count;)
    if (sim->requests[i].instance == number)
      sim->requests[i] = sim->requests[--sim->request_count];
    else
      i++;
  instance_stop (&sim->instances[number]);
}

void
lossyfleet_drain (struct lossyfleet *sim, uint32_t number)
{
  const struct dispatch_event event = { .kind = DISPATCH_DRAIN };
  struct lossyfleet_instance *instance = &sim->instances[number];

  sim->client_counts[number][0] = 0;
  sim->client_counts[number][1] = 0;
  handle_event (instance, &event);
  fleet_drain (instance->fleet, now_ns (sim));
}

void
lossyfleet_connect (struct lossyfleet *sim, uint32_t a, uint32_t b)
{
  struct lossyfleet_instance *ends[2]
      = { &sim->instances[a], &sim->instances[b] };
  struct message_hello hello = { .version = MESSAGE_VERSION };
  int i;

  for (i = 0; i < 2; i++)
    {
      memcpy (hello.instance, ends[i]->name, sizeof hello.instance);
      hello.incarnation = ends[i]->incarnation;
      CU_ASSERT_EQUAL (
          fleet_peer_up (ends[1 - i]->fleet, &hello, now_ns (sim)), 0);
    }
}

void
lossyfleet_set_isolated (struct lossyfleet *sim, uint32_t instance, bool cut)
{
  uint32_t i;

  for (i = 0; i < LOSSYFLEET_INSTANCES; i++)
    {
      sim->cut[instance][i] = cut && i != instance;
      sim->cut[i][instance] = cut && i != instance;
    }
}

void
lossyfleet_run_ms (struct lossyfleet *sim, uint32_t duration_ms)
{
  const struct dispatch_event tick = { .kind = DISPATCH_TICK };
  const struct dispatch_event capacity = { .kind = DISPATCH_CAPACITY_CHANGED };
  struct lossyfleet_instance *instance;
  uint32_t i;

  for (; duration_ms > 0; duration_ms--)
    {
      sim->now_ms++;
      deliver_frames (sim);
      complete_requests (sim);
      for (i = 0; i < LOSSYFLEET_INSTANCES; i++)
        {
          instance = &sim->instances[i];
          if (instance->fleet == NULL)
            continue;
          submit_requests (sim, instance);
          if (sim->now_ms % TICK_MS == 0)
            handle_event (instance, &tick);
          if (fleet_run (instance->fleet, now_ns (sim)) > 0)
            handle_event (instance, &capacity);
        }
      update_oversubscription (sim);
    }
}

uint32_t
lossyfleet_busy (const struct lossyfleet *sim, uint32_t instance)
{
  uint32_t busy = 0;
  uint32_t i;

  for (i = 0; i < sim->request_count; i++)
    busy += sim->requests[i].instance == instance;
  return busy;
}

uint32_t
lossyfleet_capacity (const struct lossyfleet *sim, uint32_t instance)
{
  const struct slots_entry *entry;
  uint32_t capacity = 0;

  for (entry = sim->instances[instance].slots.entries; entry != NULL;
       entry = entry->hh.next)
    if (entry->expiry_ns > now_ns (sim))
      capacity += entry->capacity;
  return capacity;
}

uint64_t
lossyfleet_position (const struct lossyfleet *sim, uint32_t instance,
                     uint32_t customer)
{
  return ledger_position (sim->instances[instance].ledger,
                          catalog_id (customers[customer]),
                          catalog_id ("model"));
}

static void
fill_catalog (struct catalog *catalog)
{
  struct catalog_upstream upstreams[LOSSYFLEET_UPSTREAMS] = { 0 };
  struct catalog_service service = { .name = "model",
                                     .kind = CATALOG_ENGINE,
                                     .input_cost = 1,
                                     .output_cost = 2,
                                     .upstream_count = LOSSYFLEET_UPSTREAMS,
                                     .upstreams = upstreams };
  struct catalog_profile profile = { .name = "chat",
                                     .service = "model",
                                     .idempotent = true,
                                     .deadline_ms = 100000000,
                                     .queue_limit = 100000,
                                     .attempts_max = 3,
                                     .cost_hint = 10 };
  struct catalog_customer customer = { .weight = 1, .waiting_max = 100000 };
  uint32_t i;

  catalog_init (catalog);
  for (i = 0; i < LOSSYFLEET_UPSTREAMS; i++)
    {
      snprintf (upstreams[i].address, sizeof upstreams[i].address,
                "127.0.0.1:%u", i + 1);
      upstreams[i].slots = LOSSYFLEET_SLOTS;
    }
  CU_ASSERT_EQUAL (catalog_put_service (catalog, &service), 0);
  CU_ASSERT_EQUAL (catalog_put_profile (catalog, &profile), 0);
  for (i = 0; i < 2; i++)
    {
      snprintf (customer.name, sizeof customer.name, "%s", customers[i]);
      CU_ASSERT_EQUAL (catalog_put_customer (catalog, &customer), 0);
    }
}

static void
instance_stop (struct lossyfleet_instance *instance)
{
  dispatch_set_peer_demand (instance->dispatch, NULL, NULL);
  fleet_free (instance->fleet);
  dispatch_free (instance->dispatch);
  ledger_free (instance->ledger);
  slots_finish (&instance->slots);
  catalog_finish (&instance->catalog);
  instance->fleet = NULL;
}

static void
deliver_frames (struct lossyfleet *sim)
{
  struct peercodec_decoder decoder;
  struct lossyfleet_frame frame;
  struct lossyfleet_instance *instance;
  struct message message;
  uint32_t i;

  for (i = 0; i < sim->frame_count;)
    {
      if (sim->frames[i].due_ms > sim->now_ms)
        {
          i++;
          continue;
        }
      frame = sim->frames[i];
      sim->frame_count--;
      memmove (&sim->frames[i], &sim->frames[i + 1],
               (sim->frame_count - i) * sizeof frame);
      instance = &sim->instances[frame.to];
      memset (&decoder, 0, sizeof decoder);
      if (instance->fleet != NULL
          && peercodec_decode (&decoder, frame.buffer.data, frame.buffer.size,
                               &message)
                 == 0)
        {
          fleet_receive (instance->fleet,
                         catalog_id (sim->instances[frame.from].name),
                         &message, now_ns (sim));
          message_finish (&message);
        }
      peercodec_decoder_finish (&decoder);
      peercodec_buffer_finish (&frame.buffer);
    }
}

static void
complete_requests (struct lossyfleet *sim)
{
  struct dispatch_event event = { .kind = DISPATCH_COMPLETED };
  struct lossyfleet_request request;
  uint32_t i;

  for (i = 0; i < sim->request_count;)
    {
      if (sim->requests[i].end_ms > sim->now_ms)
        {
          i++;
          continue;
        }
      request = sim->requests[i];
      sim->requests[i] = sim->requests[--sim->request_count];
      event.request = request.id;
      event.attempt = request.attempt;
      event.u.progress.output_tokens = 5;
      sim->instances[request.instance].completed++;
      handle_event (&sim->instances[request.instance], &event);
    }
}

static void
handle_event (struct lossyfleet_instance *instance,
              const struct dispatch_event *event)
{
  struct dispatch_actions actions = { 0 };
  size_t i;

  dispatch_handle (instance->dispatch, event, now_ns (instance->sim),
                   &actions);
  for (i = 0; i < actions.count; i++)
    if (actions.items[i].kind == DISPATCH_CONNECT)
      start_attempt (instance, &actions.items[i]);
  dispatch_actions_finish (&actions);
}

/** Advances an attempt to its response and schedules its end. */
static void
start_attempt (struct lossyfleet_instance *instance,
               const struct dispatch_action *action)
{
  static const enum dispatch_event_kind steps[]
      = { DISPATCH_CONNECTING, DISPATCH_SENDING, DISPATCH_SENT,
          DISPATCH_RESPONDING };
  struct lossyfleet *sim = instance->sim;
  struct dispatch_event event
      = { .request = action->request, .attempt = action->attempt };
  size_t i;

  for (i = 0; i < sizeof steps / sizeof steps[0]; i++)
    {
      event.kind = steps[i];
      handle_event (instance, &event);
    }
  CU_ASSERT_FATAL (sim->request_count < LOSSYFLEET_REQUESTS_MAX);
  sim->requests[sim->request_count++] = (struct lossyfleet_request){
    .instance = instance->number,
    .upstream_id = action->upstream_id,
    .id = action->request,
    .attempt = action->attempt,
    .end_ms = sim->now_ms + sim->service_ms,
  };
}

/** Submits requests until each client has one waiting or running. */
static void
submit_requests (struct lossyfleet *sim, struct lossyfleet_instance *instance)
{
  struct dispatch_demand demands[2];
  uint32_t open_counts[2] = { 0, 0 };
  size_t count = dispatch_list_demands (instance->dispatch, demands, 2);
  uint32_t customer;
  size_t i;

  for (i = 0; i < count; i++)
    open_counts[demands[i].customer_id == catalog_id (customers[1])]
        = demands[i].waiting + demands[i].running;
  for (customer = 0; customer < 2; customer++)
    for (; open_counts[customer]
           < sim->client_counts[instance->number][customer];
         open_counts[customer]++)
      submit_request (instance, customer);
}

static void
submit_request (struct lossyfleet_instance *instance, uint32_t customer)
{
  struct dispatch_event event
      = { .kind = DISPATCH_ARRIVED, .request = ++instance->sim->next_request };

  event.u.arrival.customer_id = catalog_id (customers[customer]);
  event.u.arrival.profile_id = catalog_id ("chat");
  event.u.arrival.input_tokens = 10;
  handle_event (instance, &event);
}

static void
update_oversubscription (struct lossyfleet *sim)
{
  uint32_t busy;
  uint32_t i;
  uint32_t j;

  for (i = 0; i < sim->request_count; i++)
    {
      busy = 0;
      for (j = 0; j < sim->request_count; j++)
        busy += sim->requests[j].upstream_id == sim->requests[i].upstream_id;
      if (busy > LOSSYFLEET_SLOTS
          && busy - LOSSYFLEET_SLOTS > sim->oversubscribed)
        sim->oversubscribed = busy - LOSSYFLEET_SLOTS;
    }
}

static int
on_send (void *user, uint64_t instance_id, const struct message *message)
{
  struct lossyfleet_instance *instance = user;
  struct lossyfleet *sim = instance->sim;
  uint32_t to = 0;

  while (catalog_id (sim->instances[to].name) != instance_id)
    to++;
  if (sim->cut[instance->number][to]
      || random_below (sim, 100) < sim->loss_percent)
    return 0;
  enqueue_frame (sim, instance->number, to, message);
  if (random_below (sim, 100) < sim->repeat_percent)
    enqueue_frame (sim, instance->number, to, message);
  return 0;
}

/** Encodes each message with a new encoder, so that frames do not depend on
    each other and any of them can be lost. */
static void
enqueue_frame (struct lossyfleet *sim, uint32_t from, uint32_t to,
               const struct message *message)
{
  struct peercodec_encoder encoder = { 0 };
  struct lossyfleet_frame *frame = &sim->frames[sim->frame_count++];

  CU_ASSERT_FATAL (sim->frame_count < LOSSYFLEET_FRAMES_MAX);
  memset (frame, 0, sizeof *frame);
  frame->from = from;
  frame->to = to;
  frame->due_ms = sim->now_ms + 1 + random_below (sim, sim->delay_ms_max);
  CU_ASSERT_EQUAL (peercodec_encode (&encoder, message, &frame->buffer), 0);
  peercodec_encoder_finish (&encoder);
}

static uint32_t
random_below (struct lossyfleet *sim, uint32_t below)
{
  return (uint32_t)rand_r (&sim->seed) % below;
}

static uint64_t
now_ns (const struct lossyfleet *sim)
{
  return sim->now_ms * LOSSYFLEET_NS_PER_MS;
}

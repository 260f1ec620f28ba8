/**
 * @file world.c
 * A fleet over a fake link.
 */
#include "support/world.h"
#include <CUnit/CUnit.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_MS 10 /* between ticks of a dispatcher */

static const char *const customers[2] = { "ana", "bruno" };

static void catalog_fill (struct catalog *catalog);
static void down (struct world_node *node);
static void deliver (struct world *world);
static void complete (struct world *world);
static void handle (struct world_node *node,
                    const struct dispatch_event *event);
static void begin (struct world_node *node,
                   const struct dispatch_action *action);
static void top_up (struct world *world, struct world_node *node);
static void arrive (struct world_node *node, uint32_t customer);
static void check_upstreams (struct world *world);
static int on_send (void *user, uint64_t instance_id,
                    const struct message *message);
static void post (struct world *world, uint32_t from, uint32_t to,
                  const struct message *message);
static uint32_t chance (struct world *world, uint32_t below);
static uint64_t now_ns (const struct world *world);

void
world_init (struct world *world, uint32_t seed)
{
  uint32_t i;
  uint32_t j;

  memset (world, 0, sizeof *world);
  world->seed = seed;
  world->now_ms = 1000;
  world->delay_ms_max = 1;
  world->service_ms = 40;
  for (i = 0; i < WORLD_NODES; i++)
    {
      world->nodes[i].world = world;
      world->nodes[i].number = i;
      snprintf (world->nodes[i].name, sizeof world->nodes[i].name, "router-%u",
                i);
      world_start (world, i);
    }
  for (i = 0; i < WORLD_NODES; i++)
    for (j = i + 1; j < WORLD_NODES; j++)
      world_join (world, i, j);
}

void
world_finish (struct world *world)
{
  uint32_t i;

  for (i = 0; i < WORLD_NODES; i++)
    if (world->nodes[i].fleet != NULL)
      down (&world->nodes[i]);
  for (i = 0; i < world->frame_count; i++)
    peercodec_buffer_finish (&world->frames[i].buffer);
}

void
world_start (struct world *world, uint32_t number)
{
  struct world_node *node = &world->nodes[number];
  struct fleet_config fleet = { .exchange_interval_ms = WORLD_INTERVAL_MS,
                                .lease_ms = WORLD_LEASE_MS,
                                .members_expected = WORLD_NODES - 1,
                                .catalog = &node->catalog,
                                .slots = &node->slots,
                                .link = { on_send, node } };
  struct dispatch_config dispatch = { .availability_zone = "a",
                                      .limits = { .waiting_max = 100000 },
                                      .placement = &placement_least_busy,
                                      .catalog = &node->catalog,
                                      .slots = &node->slots };

  node->incarnation = world->now_ms;
  catalog_fill (&node->catalog);
  slots_init (&node->slots);
  node->ledger = ledger_new (
      (struct ledger_origin){ catalog_id (node->name), node->incarnation });
  dispatch.ledger = node->ledger;
  node->dispatch = dispatch_new (&dispatch);
  fleet.ledger = node->ledger;
  fleet.dispatch = node->dispatch;
  fleet.self.instance_id = catalog_id (node->name);
  fleet.self.incarnation = node->incarnation;
  memcpy (fleet.self.instance, node->name, sizeof fleet.self.instance);
  node->fleet = fleet_new (&fleet);
  CU_ASSERT_PTR_NOT_NULL_FATAL (node->fleet);
  dispatch_set_fleet_backlog (node->dispatch, fleet_backlog, node->fleet);
  fleet_catalog_changed (node->fleet, now_ns (world));
}

void
world_kill (struct world *world, uint32_t number)
{
  uint32_t i;

  for (i = 0; i < WORLD_NODES; i++)
    if (i != number && world->nodes[i].fleet != NULL)
      fleet_peer_down (world->nodes[i].fleet,
                       catalog_id (world->nodes[number].name), now_ns (world));
  for (i = 0; i < world->run_count;)
    if (world->runs[i].node == number)
      world->runs[i] = world->runs[--world->run_count];
    else
      i++;
  down (&world->nodes[number]);
}

void
world_drain (struct world *world, uint32_t number)
{
  const struct dispatch_event event = { .kind = DISPATCH_DRAIN };
  struct world_node *node = &world->nodes[number];

  world->clients[number][0] = 0;
  world->clients[number][1] = 0;
  handle (node, &event);
  fleet_drain (node->fleet, now_ns (world));
}

void
world_join (struct world *world, uint32_t a, uint32_t b)
{
  struct world_node *ends[2] = { &world->nodes[a], &world->nodes[b] };
  struct message_hello hello = { .version = MESSAGE_VERSION };
  int i;

  for (i = 0; i < 2; i++)
    {
      memcpy (hello.instance, ends[i]->name, sizeof hello.instance);
      hello.incarnation = ends[i]->incarnation;
      CU_ASSERT_EQUAL (
          fleet_peer_up (ends[1 - i]->fleet, &hello, now_ns (world)), 0);
    }
}

void
world_isolate (struct world *world, uint32_t node, bool cut)
{
  uint32_t i;

  for (i = 0; i < WORLD_NODES; i++)
    {
      world->cut[node][i] = cut && i != node;
      world->cut[i][node] = cut && i != node;
    }
}

void
world_run_ms (struct world *world, uint32_t duration_ms)
{
  const struct dispatch_event tick = { .kind = DISPATCH_TICK };
  const struct dispatch_event capacity = { .kind = DISPATCH_CAPACITY_CHANGED };
  struct world_node *node;
  uint32_t i;

  for (; duration_ms > 0; duration_ms--)
    {
      world->now_ms++;
      deliver (world);
      complete (world);
      for (i = 0; i < WORLD_NODES; i++)
        {
          node = &world->nodes[i];
          if (node->fleet == NULL)
            continue;
          top_up (world, node);
          if (world->now_ms % TICK_MS == 0)
            handle (node, &tick);
          if (fleet_run (node->fleet, now_ns (world)) > 0)
            handle (node, &capacity);
        }
      check_upstreams (world);
    }
}

uint32_t
world_busy (const struct world *world, uint32_t node)
{
  uint32_t busy = 0;
  uint32_t i;

  for (i = 0; i < world->run_count; i++)
    busy += world->runs[i].node == node;
  return busy;
}

uint32_t
world_capacity (const struct world *world, uint32_t node)
{
  const struct slots_entry *entry;
  uint32_t capacity = 0;

  for (entry = world->nodes[node].slots.entries; entry != NULL;
       entry = entry->hh.next)
    if (entry->expiry_ns > now_ns (world))
      capacity += entry->capacity;
  return capacity;
}

uint64_t
world_position (const struct world *world, uint32_t node, uint32_t customer)
{
  return ledger_position (world->nodes[node].ledger,
                          catalog_id (customers[customer]),
                          catalog_id ("model"));
}

static void
catalog_fill (struct catalog *catalog)
{
  struct catalog_upstream upstreams[WORLD_UPSTREAMS] = { 0 };
  struct catalog_service service = { .name = "model",
                                     .kind = CATALOG_ENGINE,
                                     .input_cost = 1,
                                     .output_cost = 2,
                                     .upstream_count = WORLD_UPSTREAMS,
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
  for (i = 0; i < WORLD_UPSTREAMS; i++)
    {
      snprintf (upstreams[i].address, sizeof upstreams[i].address,
                "127.0.0.1:%u", i + 1);
      upstreams[i].slots = WORLD_SLOTS;
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
down (struct world_node *node)
{
  dispatch_set_fleet_backlog (node->dispatch, NULL, NULL);
  fleet_free (node->fleet);
  dispatch_free (node->dispatch);
  ledger_free (node->ledger);
  slots_finish (&node->slots);
  catalog_finish (&node->catalog);
  node->fleet = NULL;
}

static void
deliver (struct world *world)
{
  struct peercodec_decoder decoder;
  struct world_frame frame;
  struct world_node *node;
  struct message message;
  uint32_t i;

  for (i = 0; i < world->frame_count;)
    {
      if (world->frames[i].due_ms > world->now_ms)
        {
          i++;
          continue;
        }
      frame = world->frames[i];
      world->frame_count--;
      memmove (&world->frames[i], &world->frames[i + 1],
               (world->frame_count - i) * sizeof frame);
      node = &world->nodes[frame.to];
      memset (&decoder, 0, sizeof decoder);
      if (node->fleet != NULL
          && peercodec_decode (&decoder, frame.buffer.data, frame.buffer.size,
                               &message)
                 == 0)
        {
          fleet_receive (node->fleet,
                         catalog_id (world->nodes[frame.from].name), &message,
                         now_ns (world));
          message_finish (&message);
        }
      peercodec_decoder_finish (&decoder);
      peercodec_buffer_finish (&frame.buffer);
    }
}

static void
complete (struct world *world)
{
  struct dispatch_event event = { .kind = DISPATCH_COMPLETED };
  struct world_run run;
  uint32_t i;

  for (i = 0; i < world->run_count;)
    {
      if (world->runs[i].end_ms > world->now_ms)
        {
          i++;
          continue;
        }
      run = world->runs[i];
      world->runs[i] = world->runs[--world->run_count];
      event.request = run.request;
      event.attempt = run.attempt;
      event.u.progress.output_tokens = 5;
      world->nodes[run.node].completed++;
      handle (&world->nodes[run.node], &event);
    }
}

static void
handle (struct world_node *node, const struct dispatch_event *event)
{
  struct dispatch_actions actions = { 0 };
  size_t i;

  dispatch_handle (node->dispatch, event, now_ns (node->world), &actions);
  for (i = 0; i < actions.count; i++)
    if (actions.items[i].kind == DISPATCH_CONNECT)
      begin (node, &actions.items[i]);
  dispatch_actions_finish (&actions);
}

/** Walks an attempt to its response, and notes when it will end. */
static void
begin (struct world_node *node, const struct dispatch_action *action)
{
  static const enum dispatch_event_kind steps[]
      = { DISPATCH_CONNECTING, DISPATCH_SENDING, DISPATCH_SENT,
          DISPATCH_RESPONDING };
  struct world *world = node->world;
  struct dispatch_event event
      = { .request = action->request, .attempt = action->attempt };
  size_t i;

  for (i = 0; i < sizeof steps / sizeof steps[0]; i++)
    {
      event.kind = steps[i];
      handle (node, &event);
    }
  CU_ASSERT_FATAL (world->run_count < WORLD_REQUESTS);
  world->runs[world->run_count++] = (struct world_run){
    .node = node->number,
    .upstream_id = action->upstream_id,
    .request = action->request,
    .attempt = action->attempt,
    .end_ms = world->now_ms + world->service_ms,
  };
}

/** Each client has one request waiting or running. */
static void
top_up (struct world *world, struct world_node *node)
{
  struct dispatch_demand demands[2];
  uint32_t open[2] = { 0, 0 };
  size_t count = dispatch_list_demands (node->dispatch, demands, 2);
  uint32_t customer;
  size_t i;

  for (i = 0; i < count; i++)
    open[demands[i].customer_id == catalog_id (customers[1])]
        = demands[i].waiting + demands[i].running;
  for (customer = 0; customer < 2; customer++)
    for (; open[customer] < world->clients[node->number][customer];
         open[customer]++)
      arrive (node, customer);
}

static void
arrive (struct world_node *node, uint32_t customer)
{
  struct dispatch_event event
      = { .kind = DISPATCH_ARRIVED, .request = ++node->world->next_request };

  event.u.arrival.customer_id = catalog_id (customers[customer]);
  event.u.arrival.profile_id = catalog_id ("chat");
  event.u.arrival.input_tokens = 10;
  handle (node, &event);
}

static void
check_upstreams (struct world *world)
{
  uint32_t busy;
  uint32_t i;
  uint32_t j;

  for (i = 0; i < world->run_count; i++)
    {
      busy = 0;
      for (j = 0; j < world->run_count; j++)
        busy += world->runs[j].upstream_id == world->runs[i].upstream_id;
      if (busy > WORLD_SLOTS && busy - WORLD_SLOTS > world->over)
        world->over = busy - WORLD_SLOTS;
    }
}

static int
on_send (void *user, uint64_t instance_id, const struct message *message)
{
  struct world_node *node = user;
  struct world *world = node->world;
  uint32_t to = 0;

  while (catalog_id (world->nodes[to].name) != instance_id)
    to++;
  if (world->cut[node->number][to]
      || chance (world, 100) < world->lost_percent)
    return 0;
  post (world, node->number, to, message);
  if (chance (world, 100) < world->twice_percent)
    post (world, node->number, to, message);
  return 0;
}

/** Frames carry whole values, so that each can be lost alone. */
static void
post (struct world *world, uint32_t from, uint32_t to,
      const struct message *message)
{
  struct peercodec_encoder encoder = { 0 };
  struct world_frame *frame = &world->frames[world->frame_count++];

  CU_ASSERT_FATAL (world->frame_count < WORLD_FRAMES);
  memset (frame, 0, sizeof *frame);
  frame->from = from;
  frame->to = to;
  frame->due_ms = world->now_ms + 1 + chance (world, world->delay_ms_max);
  CU_ASSERT_EQUAL (peercodec_encode (&encoder, message, &frame->buffer), 0);
  peercodec_encoder_finish (&encoder);
}

static uint32_t
chance (struct world *world, uint32_t below)
{
  return (uint32_t)rand_r (&world->seed) % below;
}

static uint64_t
now_ns (const struct world *world)
{
  return world->now_ms * WORLD_MS;
}

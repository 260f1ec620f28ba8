/**
 * @file fakefleet.c
 * Instances joined by a fake link.
 */
#include "support/fakefleet_int.h"
#include <CUnit/CUnit.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MS      UINT64_C (1000000) /* nanoseconds */
#define RUN_MS  2                  /* between runs of an instance */
#define TICK_MS 10

struct fake_packet
{
  uint64_t due_ns;
  uint32_t from;
  uint32_t to;
  uint64_t incarnation; /* of the sender */
  struct message message;
};

static int send (void *user, uint64_t id, const struct message *message);
static void *copy_array (const void *from, size_t count, size_t size);
static struct message copy (const struct message *message);
static void post (struct fake_node *node, uint32_t to,
                  const struct message *message);
static void act (struct fake_node *node, const struct dispatch_action *action);
static void deliver (struct fakefleet *world);
static void run_nodes (struct fakefleet *world);
static void hello (const struct fake_node *node, struct message_hello *out);

static void *
copy_array (const void *from, size_t count, size_t size)
{
  void *to = calloc (count + 1, size);

  if (count > 0)
    memcpy (to, from, count * size);
  return to;
}

static struct message
copy (const struct message *message)
{
  struct message to = *message;

  switch (message->kind)
    {
    case MESSAGE_HEARTBEAT:
      to.u.heartbeat.demands
          = copy_array (to.u.heartbeat.demands, to.u.heartbeat.demand_count,
                        sizeof *to.u.heartbeat.demands);
      break;
    case MESSAGE_ACCOUNTS:
      to.u.accounts.entries
          = copy_array (to.u.accounts.entries, to.u.accounts.entry_count,
                        sizeof *to.u.accounts.entries);
      break;
    case MESSAGE_GRANT:
      to.u.grant.items = copy_array (to.u.grant.items, to.u.grant.item_count,
                                     sizeof *to.u.grant.items);
      break;
    case MESSAGE_HOLD:
      to.u.hold.items = copy_array (to.u.hold.items, to.u.hold.item_count,
                                    sizeof *to.u.hold.items);
      break;
    default:
      CU_FAIL_FATAL ("message that no test sends");
    }
  return to;
}

static void
post (struct fake_node *node, uint32_t to, const struct message *message)
{
  struct fakefleet *world = node->world;
  struct fake_packet *packet;

  world->packets = realloc (world->packets, (world->packet_count + 1)
                                                * sizeof *world->packets);
  packet = &world->packets[world->packet_count++];
  memset (packet, 0, sizeof *packet);
  packet->due_ns
      = world->now_ns
        + (1 + rng_below (&world->rng, world->config.delay_ms + 1)) * MS;
  packet->from = node->index;
  packet->to = to;
  packet->incarnation = node->incarnation;
  packet->message = copy (message);
}

static int
send (void *user, uint64_t id, const struct message *message)
{
  struct fake_node *node = user;
  struct fakefleet *world = node->world;
  uint32_t to = 0;

  while (world->nodes[to].id != id)
    to++;
  if (world->cut[node->index][to]
      || rng_below (&world->rng, 100) < world->config.loss_percent)
    return 0;
  post (node, to, message);
  if (rng_below (&world->rng, 100) < world->config.repeat_percent)
    post (node, to, message);
  return 0;
}

static void
deliver (struct fakefleet *world)
{
  size_t i = 0;

  while (i < world->packet_count)
    {
      struct fake_packet packet = world->packets[i];
      struct fake_node *to = &world->nodes[packet.to];

      if (packet.due_ns > world->now_ns || to->paused)
        {
          i++;
          continue;
        }
      world->packet_count--;
      memmove (&world->packets[i], &world->packets[i + 1],
               (world->packet_count - i) * sizeof packet);
      if (to->up && !world->cut[packet.from][packet.to]
          && packet.incarnation == world->nodes[packet.from].incarnation)
        {
          fleet_receive (to->fleet, world->nodes[packet.from].id,
                         &packet.message, world->now_ns);
        }
      message_finish (&packet.message);
    }
}

static void
act (struct fake_node *node, const struct dispatch_action *action)
{
  struct fakefleet *world = node->world;
  struct fake_request *request = &world->requests[action->request - 1];
  struct dispatch_event event = { .kind = DISPATCH_SENDING,
                                  .request = action->request,
                                  .attempt = action->attempt };
  struct fake_job *job;
  uint32_t upstream = 0;

  if (action->kind == DISPATCH_FINISH || action->kind == DISPATCH_REFUSE)
    world->outstanding[request->customer][node->index]--;
  if (action->kind == DISPATCH_REFUSE)
    world->refused++;
  if (action->kind != DISPATCH_CONNECT)
    return;
  world->served_ns[request->customer] = world->now_ns;
  while (world->upstreams[upstream].id != action->upstream_id)
    upstream++;
  world->jobs
      = realloc (world->jobs, (world->job_count + 1) * sizeof *world->jobs);
  job = &world->jobs[world->job_count++];
  *job = (struct fake_job){ action->request, action->attempt, upstream, 0,
                            request->tokens * world->slowness[upstream] };
  fake_handle (node, &event);
}

void
fake_handle (struct fake_node *node, const struct dispatch_event *event)
{
  struct dispatch_actions actions = { 0 };
  size_t i;

  dispatch_handle (node->dispatch, event, node->world->now_ns, &actions);
  for (i = 0; i < actions.count; i++)
    act (node, &actions.items[i]);
  dispatch_actions_finish (&actions);
}

static void
run_nodes (struct fakefleet *world)
{
  struct dispatch_event event = { .kind = DISPATCH_CAPACITY_CHANGED };
  uint32_t n;

  for (n = 0; n < world->config.node_count; n++)
    {
      struct fake_node *node = &world->nodes[n];

      if (!node->up || node->paused)
        continue;
      if (fleet_run (node->fleet, world->now_ns) == 1)
        {
          event.kind = DISPATCH_CAPACITY_CHANGED;
          fake_handle (node, &event);
        }
      if (world->now_ns / MS % TICK_MS == 0)
        {
          event.kind = DISPATCH_TICK;
          fake_handle (node, &event);
        }
    }
}

void
fake_run (struct fakefleet *world, uint32_t ms)
{
  while (ms-- > 0)
    {
      world->now_ns += MS;
      deliver (world);
      fake_progress (world);
      fake_keep_outstanding (world);
      if (world->now_ns / MS % RUN_MS == 0)
        run_nodes (world);
      fake_sample (world);
    }
}

static void
hello (const struct fake_node *node, struct message_hello *out)
{
  memset (out, 0, sizeof *out);
  out->version = MESSAGE_VERSION;
  snprintf (out->instance, sizeof out->instance, "n%u", node->index);
  out->incarnation = node->incarnation;
}

void
fake_start (struct fakefleet *world, uint32_t index)
{
  struct fake_node *node = &world->nodes[index];
  struct fleet_config fleet
      = { .exchange_interval_ms = FAKE_INTERVAL_MS,
          .lease_ms = FAKE_LEASE_MS,
          .payback = FAKE_PAYBACK,
          .members_expected = world->config.node_count - 1,
          .policy = world->config.policy,
          .catalog = &world->catalog,
          .slots = &node->slots,
          .link = { send, node } };
  struct dispatch_config dispatch = { .limits = { UINT32_MAX, 0 },
                                      .placement = &placement_affine,
                                      .catalog = &world->catalog,
                                      .slots = &node->slots };
  struct message_hello here;
  struct message_hello there;
  uint32_t n;

  node->incarnation++;
  hello (node, &here);
  node->ledger
      = ledger_new ((struct ledger_origin){ node->id, node->incarnation });
  slots_init (&node->slots);
  dispatch.ledger = node->ledger;
  dispatch.fcfs
      = world->config.policy != NULL && !world->config.policy->by_position;
  node->dispatch = dispatch_new (&dispatch);
  memcpy (fleet.self.instance, here.instance, sizeof fleet.self.instance);
  fleet.self.instance_id = node->id;
  fleet.self.incarnation = node->incarnation;
  fleet.ledger = node->ledger;
  fleet.dispatch = node->dispatch;
  node->fleet = fleet_new (&fleet);
  dispatch_set_fleet_backlog (node->dispatch, fleet_backlog, node->fleet);
  node->up = true;
  for (n = 0; n < world->config.node_count; n++)
    if (n != index && world->nodes[n].up)
      {
        hello (&world->nodes[n], &there);
        fleet_peer_up (world->nodes[n].fleet, &here, world->now_ns);
        fleet_peer_up (node->fleet, &there, world->now_ns);
      }
}

void
fake_kill (struct fakefleet *world, uint32_t index)
{
  struct fake_node *node = &world->nodes[index];
  uint32_t n;
  size_t i = 0;

  while (i < world->job_count)
    if (world->requests[world->jobs[i].handle - 1].node == index)
      world->jobs[i] = world->jobs[--world->job_count];
    else
      i++;
  for (n = 0; n < FAKE_CUSTOMERS_MAX; n++)
    world->outstanding[n][index] = 0;
  fleet_free (node->fleet);
  dispatch_free (node->dispatch);
  slots_finish (&node->slots);
  ledger_free (node->ledger);
  node->up = false;
  for (n = 0; n < world->config.node_count; n++)
    if (world->nodes[n].up)
      fleet_peer_down (world->nodes[n].fleet, node->id, world->now_ns);
}

/* A mended link is a new connection. */
void
fake_cut (struct fakefleet *world, uint32_t from, uint32_t to, bool cut)
{
  struct message_hello here;

  world->cut[from][to] = cut;
  if (cut)
    return;
  hello (&world->nodes[from], &here);
  fleet_peer_up (world->nodes[to].fleet, &here, world->now_ns);
  hello (&world->nodes[to], &here);
  fleet_peer_up (world->nodes[from].fleet, &here, world->now_ns);
}

void
fake_configure (struct fakefleet *world, uint32_t upstream_count)
{
  struct catalog_service service = { .name = "engine",
                                     .input_cost = 1,
                                     .output_cost = FAKE_TOKEN_COST,
                                     .upstream_count = upstream_count,
                                     .upstreams = world->upstreams };
  uint32_t n;

  world->config.upstream_count = upstream_count;
  catalog_put_service (&world->catalog, &service);
  for (n = 0; n < world->config.node_count; n++)
    if (world->nodes[n].up)
      fleet_catalog_changed (world->nodes[n].fleet, world->now_ns);
}

static void
configure_customer (struct fakefleet *world, uint32_t index)
{
  const struct fake_customer *who = &world->customers[index];
  struct catalog_customer customer
      = { .weight = who->weight, .waiting_max = UINT32_MAX };
  struct catalog_profile profile
      = { .service = "engine",
          .request_class = CATALOG_DURABLE,
          .deadline_ms = 3600000,
          .queue_limit = UINT32_MAX,
          .attempts_max = 1,
          .cost_hint = who->hint != 0 ? who->hint
                                      : FAKE_INPUT_TOKENS
                                            + FAKE_TOKEN_COST * who->tokens };

  snprintf (customer.name, sizeof customer.name, "c%u", index);
  snprintf (profile.name, sizeof profile.name, "c%u", index);
  catalog_put_customer (&world->catalog, &customer);
  catalog_put_profile (&world->catalog, &profile);
}

struct fakefleet *
fake_new (const struct fake_config *config)
{
  struct fakefleet *world = calloc (1, sizeof *world);
  uint32_t i;

  world->config = *config;
  rng_init (&world->rng, config->seed);
  world->now_ns = MS;
  catalog_init (&world->catalog);
  memcpy (world->customers, config->customers,
          config->customer_count * sizeof *config->customers);
  for (i = 0; i < config->customer_count; i++)
    configure_customer (world, i);
  for (i = 0; i < FAKE_UPSTREAMS_MAX; i++)
    {
      struct catalog_upstream *upstream = &world->upstreams[i];

      snprintf (upstream->address, sizeof upstream->address, "127.0.0.1:%u",
                7000 + i);
      upstream->id = catalog_upstream_id ("engine", upstream->address);
      upstream->slots = config->slots;
      world->slowness[i] = 1;
    }
  fake_configure (world, config->upstream_count);
  for (i = 0; i < config->node_count; i++)
    {
      char name[CATALOG_NAME_SIZE];

      snprintf (name, sizeof name, "n%u", i);
      world->nodes[i] = (struct fake_node){ .world = world,
                                            .index = i,
                                            .id = catalog_id (name) };
      fake_start (world, i);
    }
  return world;
}

void
fake_free (struct fakefleet *world)
{
  size_t i;

  for (i = 0; i < world->config.node_count; i++)
    if (world->nodes[i].up)
      fake_kill (world, (uint32_t)i);
  for (i = 0; i < world->packet_count; i++)
    message_finish (&world->packets[i].message);
  catalog_finish (&world->catalog);
  free (world->packets);
  free (world->jobs);
  free (world->requests);
  free (world);
}

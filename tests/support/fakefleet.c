/**
 * @file fakefleet.c
 * Instances and links of the fake fleet.
 */
#include "support/fakefleet_int.h"
#include <CUnit/CUnit.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NS_PER_MS UINT64_C (1000000)
#define RUN_MS    2  /* between runs of an instance */
#define TICK_MS   10 /* between ticks of a dispatcher */

struct fakefleet_message
{
  uint64_t due_ns;
  uint32_t from;
  uint32_t to;
  uint64_t incarnation; /* incarnation of the sender */
  struct message message;
};

static int on_send (void *user, uint64_t id, const struct message *message);
static void *copy_array (const void *from, size_t count, size_t size);
static struct message copy_message (const struct message *message);
static void enqueue_message (struct fakefleet_instance *instance, uint32_t to,
                             const struct message *message);
static void perform (struct fakefleet_instance *instance,
                     const struct dispatch_action *action);
static void deliver_messages (struct fakefleet *sim);
static void run_instances (struct fakefleet *sim);
static void fill_hello (const struct fakefleet_instance *instance,
                        struct message_hello *out);

static void *
copy_array (const void *from, size_t count, size_t size)
{
  void *to = calloc (count + 1, size);

  if (count > 0)
    memcpy (to, from, count * size);
  return to;
}

static struct message
copy_message (const struct message *message)
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
      CU_FAIL_FATAL ("unexpected kind of message");
    }
  return to;
}

static void
enqueue_message (struct fakefleet_instance *instance, uint32_t to,
                 const struct message *message)
{
  struct fakefleet *sim = instance->sim;
  struct fakefleet_message *entry;

  sim->messages = realloc (sim->messages,
                           (sim->message_count + 1) * sizeof *sim->messages);
  entry = &sim->messages[sim->message_count++];
  memset (entry, 0, sizeof *entry);
  entry->due_ns
      = sim->now_ns
        + (1 + rng_below (&sim->rng, sim->config.delay_ms + 1)) * NS_PER_MS;
  entry->from = instance->index;
  entry->to = to;
  entry->incarnation = instance->incarnation;
  entry->message = copy_message (message);
}

static int
on_send (void *user, uint64_t id, const struct message *message)
{
  struct fakefleet_instance *instance = user;
  struct fakefleet *sim = instance->sim;
  uint32_t to = 0;

  while (sim->instances[to].id != id)
    to++;
  if (sim->cut[instance->index][to]
      || rng_below (&sim->rng, 100) < sim->config.loss_percent)
    return 0;
  enqueue_message (instance, to, message);
  if (rng_below (&sim->rng, 100) < sim->config.repeat_percent)
    enqueue_message (instance, to, message);
  return 0;
}

static void
deliver_messages (struct fakefleet *sim)
{
  size_t i = 0;

  while (i < sim->message_count)
    {
      struct fakefleet_message entry = sim->messages[i];
      struct fakefleet_instance *to = &sim->instances[entry.to];

      if (entry.due_ns > sim->now_ns || to->paused)
        {
          i++;
          continue;
        }
      sim->message_count--;
      memmove (&sim->messages[i], &sim->messages[i + 1],
               (sim->message_count - i) * sizeof entry);
      if (to->up && !sim->cut[entry.from][entry.to]
          && entry.incarnation == sim->instances[entry.from].incarnation)
        {
          fleet_receive (to->fleet, sim->instances[entry.from].id,
                         &entry.message, sim->now_ns);
        }
      message_finish (&entry.message);
    }
}

static void
perform (struct fakefleet_instance *instance,
         const struct dispatch_action *action)
{
  struct fakefleet *sim = instance->sim;
  struct fakefleet_request *request = &sim->requests[action->request - 1];
  struct dispatch_event event = { .kind = DISPATCH_SENDING,
                                  .request = action->request,
                                  .attempt = action->attempt };
  struct fakefleet_attempt *attempt;
  uint32_t upstream = 0;

  if (action->kind == DISPATCH_FINISH || action->kind == DISPATCH_REFUSE)
    sim->outstanding[request->customer][instance->index]--;
  if (action->kind == DISPATCH_REFUSE)
    sim->refused++;
  if (action->kind != DISPATCH_CONNECT)
    return;
  sim->last_service_ns[request->customer] = sim->now_ns;
  while (sim->upstreams[upstream].id != action->upstream_id)
    upstream++;
  sim->attempts = realloc (sim->attempts,
                           (sim->attempt_count + 1) * sizeof *sim->attempts);
  attempt = &sim->attempts[sim->attempt_count++];
  *attempt = (struct fakefleet_attempt){ action->request, action->attempt,
                                         upstream, 0,
                                         request->tokens
                                             * sim->ms_per_token[upstream] };
  fakefleet_handle (instance, &event);
}

void
fakefleet_handle (struct fakefleet_instance *instance,
                  const struct dispatch_event *event)
{
  struct dispatch_actions actions = { 0 };
  size_t i;

  dispatch_handle (instance->dispatch, event, instance->sim->now_ns, &actions);
  for (i = 0; i < actions.count; i++)
    perform (instance, &actions.items[i]);
  dispatch_actions_finish (&actions);
}

static void
run_instances (struct fakefleet *sim)
{
  struct dispatch_event event = { .kind = DISPATCH_CAPACITY_CHANGED };
  uint32_t n;

  for (n = 0; n < sim->config.instance_count; n++)
    {
      struct fakefleet_instance *instance = &sim->instances[n];

      if (!instance->up || instance->paused)
        continue;
      if (fleet_run (instance->fleet, sim->now_ns) == 1)
        {
          event.kind = DISPATCH_CAPACITY_CHANGED;
          fakefleet_handle (instance, &event);
        }
      if (sim->now_ns / NS_PER_MS % TICK_MS == 0)
        {
          event.kind = DISPATCH_TICK;
          fakefleet_handle (instance, &event);
        }
    }
}

void
fakefleet_run (struct fakefleet *sim, uint32_t ms)
{
  while (ms-- > 0)
    {
      sim->now_ns += NS_PER_MS;
      deliver_messages (sim);
      fakefleet_advance_attempts (sim);
      fakefleet_submit_requests (sim);
      if (sim->now_ns / NS_PER_MS % RUN_MS == 0)
        run_instances (sim);
      fakefleet_sample (sim);
    }
}

static void
fill_hello (const struct fakefleet_instance *instance,
            struct message_hello *out)
{
  memset (out, 0, sizeof *out);
  out->version = MESSAGE_VERSION;
  snprintf (out->instance, sizeof out->instance, "n%u", instance->index);
  out->incarnation = instance->incarnation;
}

void
fakefleet_start (struct fakefleet *sim, uint32_t index)
{
  struct fakefleet_instance *instance = &sim->instances[index];
  struct fleet_config fleet
      = { .exchange_interval_ms = FAKEFLEET_INTERVAL_MS,
          .lease_ms = FAKEFLEET_LEASE_MS,
          .payback = FAKEFLEET_PAYBACK,
          .peers_expected = sim->config.instance_count - 1,
          .policy = sim->config.policy,
          .catalog = &sim->catalog,
          .slots = &instance->slots,
          .sender = { on_send, instance } };
  struct dispatch_config dispatch = { .limits = { UINT32_MAX, 0 },
                                      .placement = &placement_affine,
                                      .catalog = &sim->catalog,
                                      .slots = &instance->slots };
  struct message_hello self_hello;
  struct message_hello peer_hello;
  uint32_t n;

  instance->incarnation++;
  fill_hello (instance, &self_hello);
  instance->ledger = ledger_new (
      (struct ledger_origin){ instance->id, instance->incarnation });
  slots_init (&instance->slots);
  dispatch.ledger = instance->ledger;
  dispatch.fcfs
      = sim->config.policy != NULL && !sim->config.policy->by_position;
  instance->dispatch = dispatch_new (&dispatch);
  memcpy (fleet.self.instance, self_hello.instance,
          sizeof fleet.self.instance);
  fleet.self.instance_id = instance->id;
  fleet.self.incarnation = instance->incarnation;
  fleet.ledger = instance->ledger;
  fleet.dispatch = instance->dispatch;
  instance->fleet = fleet_new (&fleet);
  dispatch_set_peer_demand (instance->dispatch, fleet_peer_demand,
                            instance->fleet);
  instance->up = true;
  for (n = 0; n < sim->config.instance_count; n++)
    if (n != index && sim->instances[n].up)
      {
        fill_hello (&sim->instances[n], &peer_hello);
        fleet_peer_up (sim->instances[n].fleet, &self_hello, sim->now_ns);
        fleet_peer_up (instance->fleet, &peer_hello, sim->now_ns);
      }
}

void
fakefleet_kill (struct fakefleet *sim, uint32_t index)
{
  struct fakefleet_instance *instance = &sim->instances[index];
  uint32_t n;
  size_t i = 0;

  while (i < sim->attempt_count)
    if (sim->requests[sim->attempts[i].handle - 1].instance == index)
      sim->attempts[i] = sim->attempts[--sim->attempt_count];
    else
      i++;
  for (n = 0; n < FAKEFLEET_CUSTOMERS_MAX; n++)
    sim->outstanding[n][index] = 0;
  fleet_free (instance->fleet);
  dispatch_free (instance->dispatch);
  slots_finish (&instance->slots);
  ledger_free (instance->ledger);
  instance->up = false;
  for (n = 0; n < sim->config.instance_count; n++)
    if (sim->instances[n].up)
      fleet_peer_down (sim->instances[n].fleet, instance->id, sim->now_ns);
}

/* A restored link is a new connection. */
void
fakefleet_set_link_cut (struct fakefleet *sim, uint32_t from, uint32_t to,
                        bool cut)
{
  struct message_hello hello;

  sim->cut[from][to] = cut;
  if (cut)
    return;
  fill_hello (&sim->instances[from], &hello);
  fleet_peer_up (sim->instances[to].fleet, &hello, sim->now_ns);
  fill_hello (&sim->instances[to], &hello);
  fleet_peer_up (sim->instances[from].fleet, &hello, sim->now_ns);
}

void
fakefleet_configure (struct fakefleet *sim, uint32_t upstream_count)
{
  struct catalog_service service = { .name = "engine",
                                     .input_cost = 1,
                                     .output_cost = FAKEFLEET_TOKEN_COST,
                                     .upstream_count = upstream_count,
                                     .upstreams = sim->upstreams };
  uint32_t n;

  sim->config.upstream_count = upstream_count;
  catalog_put_service (&sim->catalog, &service);
  for (n = 0; n < sim->config.instance_count; n++)
    if (sim->instances[n].up)
      fleet_catalog_changed (sim->instances[n].fleet, sim->now_ns);
}

static void
configure_customer (struct fakefleet *sim, uint32_t index)
{
  const struct fakefleet_customer *load = &sim->customers[index];
  struct catalog_customer customer
      = { .weight = load->weight, .waiting_max = UINT32_MAX };
  struct catalog_profile profile
      = { .service = "engine",
          .request_class = CATALOG_DURABLE,
          .deadline_ms = 3600000,
          .queue_limit = UINT32_MAX,
          .attempts_max = 1,
          .cost_hint
          = load->cost_estimate != 0
                ? load->cost_estimate
                : FAKEFLEET_INPUT_TOKENS
                      + FAKEFLEET_TOKEN_COST * load->output_tokens };

  snprintf (customer.name, sizeof customer.name, "c%u", index);
  snprintf (profile.name, sizeof profile.name, "c%u", index);
  catalog_put_customer (&sim->catalog, &customer);
  catalog_put_profile (&sim->catalog, &profile);
}

struct fakefleet *
fakefleet_new (const struct fakefleet_config *config)
{
  struct fakefleet *sim = calloc (1, sizeof *sim);
  uint32_t i;

  sim->config = *config;
  rng_init (&sim->rng, config->seed);
  sim->now_ns = NS_PER_MS;
  catalog_init (&sim->catalog);
  memcpy (sim->customers, config->customers,
          config->customer_count * sizeof *config->customers);
  for (i = 0; i < config->customer_count; i++)
    configure_customer (sim, i);
  for (i = 0; i < FAKEFLEET_UPSTREAMS_MAX; i++)
    {
      struct catalog_upstream *upstream = &sim->upstreams[i];

      snprintf (upstream->address, sizeof upstream->address, "127.0.0.1:%u",
                7000 + i);
      upstream->id = catalog_upstream_id ("engine", upstream->address);
      upstream->slots = config->slots;
      sim->ms_per_token[i] = 1;
    }
  fakefleet_configure (sim, config->upstream_count);
  for (i = 0; i < config->instance_count; i++)
    {
      char name[CATALOG_NAME_SIZE];

      snprintf (name, sizeof name, "n%u", i);
      sim->instances[i] = (struct fakefleet_instance){
        .sim = sim, .index = i, .id = catalog_id (name)
      };
      fakefleet_start (sim, i);
    }
  return sim;
}

void
fakefleet_free (struct fakefleet *sim)
{
  size_t i;

  for (i = 0; i < sim->config.instance_count; i++)
    if (sim->instances[i].up)
      fakefleet_kill (sim, (uint32_t)i);
  for (i = 0; i < sim->message_count; i++)
    message_finish (&sim->messages[i].message);
  catalog_finish (&sim->catalog);
  free (sim->messages);
  free (sim->attempts);
  free (sim->requests);
  free (sim);
}

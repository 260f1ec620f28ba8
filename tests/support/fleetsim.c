/**
 * @file fleetsim.c
 * Instances, links and clock of the fleet simulator.
 */
#include "support/fleetsim.h"
#include "protocol/peercodec.h"
#include "state/err.h"
#include "support/fleetsim_int.h"
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

static int link_send (void *user, uint64_t instance_id,
                      const struct message *message);
static int copy_message (struct message *out, const struct message *message);
static void deliver_messages (struct fleetsim *sim);
static void run_instances (struct fleetsim *sim);
static void connect_peers (struct fleetsim *sim, uint32_t a, uint32_t b);
static void instance_stop (struct fleetsim_instance *instance);
static void fill_catalog (struct fleetsim *sim,
                          struct fleetsim_instance *instance);
static void check_request (struct fleetsim *sim,
                           const struct fleetsim_request *request);
static void check_upstream (struct fleetsim *sim, uint64_t upstream_id,
                            uint32_t slots);

static const char *const fault_names[FLEETSIM_FAULT_MAX] = {
  [FLEETSIM_FAULT_NONE] = "none",
  [FLEETSIM_FAULT_REFUSED] = "refused",
  [FLEETSIM_FAULT_RESET] = "reset",
  [FLEETSIM_FAULT_HALF_OPEN] = "half-open",
  [FLEETSIM_FAULT_SLOW] = "slow",
  [FLEETSIM_FAULT_TRUNCATED] = "truncated",
  [FLEETSIM_FAULT_LATE] = "late",
  [FLEETSIM_FAULT_WRONG_RESPONSE] = "crossed",
  [FLEETSIM_FAULT_REPEATED] = "repeated",
  [FLEETSIM_FAULT_DRAINING] = "draining",
};

static const char *const outcome_names[FLEETSIM_OUTCOME_MAX] = {
  [FLEETSIM_PENDING] = "pending",          [FLEETSIM_FINISHED] = "finished",
  [FLEETSIM_REFUSED] = "refused",          [FLEETSIM_ABORTED] = "aborted",
  [FLEETSIM_CLIENT_DISCONNECTED] = "gone",
};

void
fleetsim_init (struct fleetsim *sim, FILE *transcript)
{
  memset (sim, 0, sizeof *sim);
  sim->now_ns = FLEETSIM_NS_PER_MS;
  sim->transcript = transcript;
  sim->service_ms = 1;
}

void
fleetsim_finish (struct fleetsim *sim)
{
  uint32_t i;

  for (i = 0; i < sim->instance_count; i++)
    if (sim->instances[i].running)
      instance_stop (&sim->instances[i]);
  for (i = 0; i < sim->message_count; i++)
    message_finish (&sim->messages[i].message);
  for (i = 0; i < sim->service_count; i++)
    free (sim->services[i].upstreams);
}

void
fleetsim_add_service (struct fleetsim *sim, const char *name,
                      enum catalog_kind kind, uint32_t upstreams,
                      uint32_t slots)
{
  struct catalog_service *service = &sim->services[sim->service_count++];
  uint32_t i;

  snprintf (service->name, sizeof service->name, "%s", name);
  service->id = catalog_id (name);
  service->kind = kind;
  service->input_cost = 1;
  service->output_cost = 2;
  service->idle_timeout_ms = 60000;
  service->resumable = kind == CATALOG_ENGINE;
  service->upstream_count = upstreams;
  service->upstreams = calloc (upstreams, sizeof *service->upstreams);
  for (i = 0; i < upstreams; i++)
    {
      struct catalog_upstream *upstream = &service->upstreams[i];

      snprintf (upstream->address, sizeof upstream->address, "127.0.0.1:%u",
                9001 + i);
      upstream->id = catalog_upstream_id (name, upstream->address);
      upstream->slots = slots;
    }
}

void
fleetsim_add_customer (struct fleetsim *sim, const char *name, uint32_t weight,
                       uint32_t waiting_max)
{
  struct catalog_customer *customer = &sim->customers[sim->customer_count++];

  snprintf (customer->name, sizeof customer->name, "%s", name);
  customer->weight = weight;
  customer->waiting_max = waiting_max;
}

void
fleetsim_add_profile (struct fleetsim *sim, const char *name,
                      const char *service, enum catalog_class request_class,
                      bool idempotent, uint32_t deadline_ms,
                      uint32_t attempts_max)
{
  struct catalog_profile *profile = &sim->profiles[sim->profile_count++];

  snprintf (profile->name, sizeof profile->name, "%s", name);
  snprintf (profile->service, sizeof profile->service, "%s", service);
  profile->request_class = request_class;
  profile->idempotent = idempotent;
  profile->deadline_ms = deadline_ms;
  profile->queue_limit = FLEETSIM_REQUESTS_MAX;
  profile->attempts_max = attempts_max;
  profile->cost_hint = 100;
}

uint32_t
fleetsim_start (struct fleetsim *sim, const char *name)
{
  struct fleetsim_instance *instance;
  struct fleet_config config;
  struct dispatch_config dispatch;
  struct ledger_origin origin;
  uint32_t i;

  for (i = 0; i < sim->instance_count; i++)
    if (strcmp (sim->instances[i].name, name) == 0)
      break;
  instance = &sim->instances[i];
  if (i == sim->instance_count)
    sim->instance_count++;
  snprintf (instance->name, sizeof instance->name, "%s", name);
  instance->sim = sim;
  instance->id = catalog_id (name);
  instance->incarnation++;
  instance->running = true;
  instance->paused = false;
  instance->max_index = 0;
  catalog_init (&instance->catalog);
  slots_init (&instance->slots);
  fill_catalog (sim, instance);
  origin.instance_id = instance->id;
  origin.incarnation = instance->incarnation;
  instance->ledger = ledger_new (origin);
  instance->confsync = NULL;
  memset (&dispatch, 0, sizeof dispatch);
  dispatch.availability_zone = "a";
  dispatch.limits.waiting_max = FLEETSIM_REQUESTS_MAX;
  dispatch.limits.quick_permille = 250;
  dispatch.placement = &placement_least_busy;
  dispatch.catalog = &instance->catalog;
  dispatch.ledger = instance->ledger;
  dispatch.slots = &instance->slots;
  instance->dispatch = dispatch_new (&dispatch);
  memset (&config, 0, sizeof config);
  config.self.instance_id = instance->id;
  snprintf (config.self.instance, sizeof config.self.instance, "%s", name);
  snprintf (config.self.availability_zone,
            sizeof config.self.availability_zone, "a");
  config.self.incarnation = instance->incarnation;
  config.self.state = MESSAGE_INSTANCE_LIVE;
  config.exchange_interval_ms = FLEETSIM_INTERVAL_MS;
  config.lease_ms = FLEETSIM_LEASE_MS;
  config.catalog = &instance->catalog;
  config.ledger = instance->ledger;
  config.slots = &instance->slots;
  config.dispatch = instance->dispatch;
  config.sender.send = link_send;
  config.sender.user = instance;
  instance->fleet = fleet_new (&config);
  dispatch_set_peer_demand (instance->dispatch, fleet_peer_demand,
                            instance->fleet);
  fleet_catalog_changed (instance->fleet, sim->now_ns);
  fleetsim_trace (sim, "%s start incarnation=%llu", name,
                  (unsigned long long)instance->incarnation);
  for (uint32_t peer = 0; peer < sim->instance_count; peer++)
    if (peer != i && sim->instances[peer].running)
      connect_peers (sim, i, peer);
  return i;
}

void
fleetsim_crash (struct fleetsim *sim, uint32_t instance)
{
  struct fleetsim_instance *self = &sim->instances[instance];
  uint32_t i;

  fleetsim_trace (sim, "%s crash", self->name);
  instance_stop (self);
  for (i = 0; i < sim->request_count; i++)
    if (sim->requests[i].instance == instance
        && sim->requests[i].outcome == FLEETSIM_PENDING)
      fleetsim_end_request (sim, &sim->requests[i],
                            FLEETSIM_CLIENT_DISCONNECTED);
  for (i = 0; i < sim->instance_count; i++)
    if (i != instance && sim->instances[i].running)
      fleet_peer_down (sim->instances[i].fleet, self->id, sim->now_ns);
}

void
fleetsim_set_paused (struct fleetsim *sim, uint32_t instance, bool paused)
{
  sim->instances[instance].paused = paused;
  fleetsim_trace (sim, "%s %s", sim->instances[instance].name,
                  paused ? "pause" : "resume");
}

void
fleetsim_set_link_cut (struct fleetsim *sim, uint32_t from, uint32_t to,
                       bool cut)
{
  sim->cut[from][to] = cut;
  fleetsim_trace (sim, "link %s->%s %s", sim->instances[from].name,
                  sim->instances[to].name, cut ? "cut" : "healed");
  if (!cut && !sim->cut[to][from])
    connect_peers (sim, from, to);
}

void
fleetsim_drain (struct fleetsim *sim, uint32_t instance)
{
  struct dispatch_event event = { .kind = DISPATCH_DRAIN };

  fleetsim_trace (sim, "%s drain", sim->instances[instance].name);
  fleetsim_handle_event (sim, instance, &event);
  fleet_drain (sim->instances[instance].fleet, sim->now_ns);
}

void
fleetsim_run (struct fleetsim *sim, uint64_t duration_ms)
{
  uint64_t i;

  for (i = 0; i < duration_ms; i++)
    {
      sim->now_ns += FLEETSIM_NS_PER_MS;
      deliver_messages (sim);
      fleetsim_advance_attempts (sim);
      run_instances (sim);
    }
}

bool
fleetsim_check_invariants (struct fleetsim *sim)
{
  uint32_t i;
  uint32_t j;

  for (i = 0; i < sim->request_count; i++)
    check_request (sim, &sim->requests[i]);
  for (i = 0; i < sim->service_count; i++)
    for (j = 0; j < sim->services[i].upstream_count; j++)
      check_upstream (sim, sim->services[i].upstreams[j].id,
                      sim->services[i].upstreams[j].slots);
  for (i = 0; i < sim->instance_count; i++)
    if (sim->instances[i].running
        && dispatch_total (sim->instances[i].dispatch) != 0)
      fleetsim_record_violation (sim, "%s still tracks %u requests",
                                 sim->instances[i].name,
                                 dispatch_total (sim->instances[i].dispatch));
  return sim->violation[0] == '\0';
}

const char *
fleetsim_fault_name (enum fleetsim_fault fault)
{
  return fault_names[fault];
}

const char *
fleetsim_outcome_name (enum fleetsim_outcome outcome)
{
  return outcome_names[outcome];
}

void
fleetsim_trace (struct fleetsim *sim, const char *format, ...)
{
  va_list ap;

  if (sim->transcript == NULL)
    return;
  fprintf (sim->transcript, "  %llu ",
           (unsigned long long)(sim->now_ns / FLEETSIM_NS_PER_MS));
  va_start (ap, format);
  vfprintf (sim->transcript, format, ap);
  va_end (ap);
  fputc ('\n', sim->transcript);
}

void
fleetsim_record_violation (struct fleetsim *sim, const char *format, ...)
{
  va_list ap;

  if (sim->violation[0] != '\0')
    return;
  va_start (ap, format);
  vsnprintf (sim->violation, sizeof sim->violation, format, ap);
  va_end (ap);
  fleetsim_trace (sim, "VIOLATION %s", sim->violation);
}

static int
link_send (void *user, uint64_t instance_id, const struct message *message)
{
  struct fleetsim_instance *self = user;
  struct fleetsim *sim = self->sim;
  uint32_t from = (uint32_t)(self - sim->instances);
  struct fleetsim_message *entry;
  uint32_t to;
  int error;

  for (to = 0; to < sim->instance_count; to++)
    if (sim->instances[to].id == instance_id)
      break;
  if (to == sim->instance_count || !sim->instances[to].running)
    return ERR_NOT_FOUND;
  if (sim->cut[from][to])
    return 0;
  if (sim->message_count == FLEETSIM_MESSAGES_MAX)
    return ERR_FULL;
  entry = &sim->messages[sim->message_count];
  entry->from = from;
  entry->to = to;
  entry->due_ns = sim->now_ns + FLEETSIM_NS_PER_MS;
  error = copy_message (&entry->message, message);
  if (error == 0)
    sim->message_count++;
  return error;
}

/* Encodes and decodes the message, so that one that cannot be sent over a
   peer link fails here. */
static int
copy_message (struct message *out, const struct message *message)
{
  struct peercodec_encoder encoder = { 0 };
  struct peercodec_decoder decoder = { 0 };
  struct peercodec_buffer buffer = { 0 };
  int error = peercodec_encode (&encoder, message, &buffer);

  if (error == 0)
    error = peercodec_decode (&decoder, buffer.data, buffer.size, out);
  peercodec_encoder_finish (&encoder);
  peercodec_decoder_finish (&decoder);
  peercodec_buffer_finish (&buffer);
  return error;
}

static void
deliver_messages (struct fleetsim *sim)
{
  uint32_t count = sim->message_count;
  uint32_t kept = 0;
  uint32_t i;

  for (i = 0; i < count; i++)
    {
      struct fleetsim_message entry = sim->messages[i];
      struct fleetsim_instance *to = &sim->instances[entry.to];

      if (to->running && (to->paused || entry.due_ns > sim->now_ns))
        {
          sim->messages[kept++] = entry;
          continue;
        }
      if (to->running
          && fleet_receive (to->fleet, sim->instances[entry.from].id,
                            &entry.message, sim->now_ns)
                 > 0)
        fleetsim_capacity_changed (sim, entry.to);
      message_finish (&entry.message);
    }
  memmove (&sim->messages[kept], &sim->messages[count],
           (sim->message_count - count) * sizeof sim->messages[0]);
  sim->message_count = kept + sim->message_count - count;
}

static void
run_instances (struct fleetsim *sim)
{
  struct dispatch_event tick = { .kind = DISPATCH_TICK };
  uint32_t i;

  for (i = 0; i < sim->instance_count; i++)
    {
      if (!sim->instances[i].running || sim->instances[i].paused)
        continue;
      fleetsim_handle_event (sim, i, &tick);
      if (fleet_run (sim->instances[i].fleet, sim->now_ns) > 0)
        fleetsim_capacity_changed (sim, i);
    }
}

static void
connect_peers (struct fleetsim *sim, uint32_t a, uint32_t b)
{
  const uint32_t ends[2] = { a, b };
  int i;

  for (i = 0; i < 2; i++)
    {
      const struct fleetsim_instance *peer = &sim->instances[ends[1 - i]];
      struct message_hello hello;

      memset (&hello, 0, sizeof hello);
      hello.version = MESSAGE_VERSION;
      snprintf (hello.fleet, sizeof hello.fleet, "test");
      snprintf (hello.instance, sizeof hello.instance, "%s", peer->name);
      snprintf (hello.availability_zone, sizeof hello.availability_zone, "a");
      hello.incarnation = peer->incarnation;
      fleet_peer_up (sim->instances[ends[i]].fleet, &hello, sim->now_ns);
    }
}

static void
instance_stop (struct fleetsim_instance *instance)
{
  instance->running = false;
  fleet_free (instance->fleet);
  dispatch_free (instance->dispatch);
  ledger_free (instance->ledger);
  slots_finish (&instance->slots);
  catalog_finish (&instance->catalog);
}

static void
fill_catalog (struct fleetsim *sim, struct fleetsim_instance *instance)
{
  uint32_t i;

  for (i = 0; i < sim->service_count; i++)
    catalog_put_service (&instance->catalog, &sim->services[i]);
  for (i = 0; i < sim->customer_count; i++)
    catalog_put_customer (&instance->catalog, &sim->customers[i]);
  for (i = 0; i < sim->profile_count; i++)
    catalog_put_profile (&instance->catalog, &sim->profiles[i]);
}

static void
check_request (struct fleetsim *sim, const struct fleetsim_request *request)
{
  const char *name = request->name;

  if (!request->idempotent && request->executions > 1)
    fleetsim_record_violation (sim, "%s is not idempotent and ran %u times",
                               name, request->executions);
  if (request->outcome == FLEETSIM_REFUSED
      && request->verdict == VERDICT_NOT_RUN
      && (request->executions > 0 || request->bytes_sent))
    fleetsim_record_violation (sim, "%s was refused as not-run but was sent",
                               name);
  if (request->corrupted)
    fleetsim_record_violation (sim, "%s: client received a byte out of order",
                               name);
  if (request->outcome == FLEETSIM_FINISHED
      && request->delivered_bytes != FLEETSIM_BODY_BYTES)
    fleetsim_record_violation (sim, "%s ended cleanly after %u bytes", name,
                               request->delivered_bytes);
  if (request->outcome == FLEETSIM_PENDING)
    fleetsim_record_violation (sim, "%s never ended", name);
}

static void
check_upstream (struct fleetsim *sim, uint64_t upstream_id, uint32_t slots)
{
  uint32_t capacity = 0;
  uint32_t i;

  for (i = 0; i < sim->instance_count; i++)
    {
      const struct fleetsim_instance *instance = &sim->instances[i];
      const struct slots_entry *entry;

      if (!instance->running)
        continue;
      entry = slots_find (&instance->slots, upstream_id);
      if (entry == NULL)
        continue;
      if (entry->busy != 0)
        fleetsim_record_violation (sim, "%s leaks %u busy slots",
                                   instance->name, entry->busy);
      if (entry->expiry_ns > sim->now_ns)
        capacity += entry->capacity;
    }
  if (capacity > slots)
    fleetsim_record_violation (sim, "%u slots leased of %u", capacity, slots);
}

/**
 * @file test_dispatch.c
 * The dispatcher: events in, actions out, on a clock that the test sets.
 */
#include "state/dispatch.h"
#include "state/err.h"
#include "support/suite.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MS          1000000ULL /**< nanoseconds */
#define SCALE       ((uint64_t)LEDGER_SCALE)
#define DEADLINE_MS 1000ULL
#define WAITING_MAX 6 /**< of the instance */

/** Tables of one instance with two upstreams of one slot each. */
struct world
{
  struct catalog catalog;
  struct slots slots;
  struct ledger *ledger;
  struct dispatch *dispatch;
  struct dispatch_actions actions;
  uint64_t now_ns;
  uint64_t pool_id;
  uint64_t upstreams[2];
};

static void
put_profile (struct world *world, const char *name, enum catalog_class class,
             bool idempotent)
{
  struct catalog_profile profile = { .request_class = class,
                                     .idempotent = idempotent,
                                     .deadline_ms = DEADLINE_MS,
                                     .queue_limit = 4,
                                     .attempts_max = 3,
                                     .cost_hint = 100 };

  snprintf (profile.name, sizeof (profile.name), "%s", name);
  snprintf (profile.service, sizeof (profile.service), "pool");
  catalog_put_profile (&world->catalog, &profile);
}

static void
put_customer (struct world *world, const char *name, uint32_t weight)
{
  struct catalog_customer customer = { .weight = weight, .waiting_max = 5 };

  snprintf (customer.name, sizeof (customer.name), "%s", name);
  catalog_put_customer (&world->catalog, &customer);
}

static void
world_init (struct world *world, size_t upstreams)
{
  struct catalog_upstream list[2] = {
    { .address = "127.0.0.1:1", .availability_zone = "a", .slots = 1 },
    { .address = "127.0.0.1:2", .availability_zone = "a", .slots = 1 },
  };
  struct catalog_service service = { .name = "pool",
                                     .kind = CATALOG_ENGINE,
                                     .input_cost = 1,
                                     .output_cost = 2,
                                     .resumable = true,
                                     .upstream_count = (uint32_t)upstreams,
                                     .upstreams = list };
  struct dispatch_config config
      = { .availability_zone = "a",
          .limits = { .waiting_max = WAITING_MAX, .quick_permille = 250 },
          .placement = &placement_least_busy };
  struct slots_entry *entry;
  size_t i;

  memset (world, 0, sizeof (*world));
  world->now_ns = MS;
  catalog_init (&world->catalog);
  slots_init (&world->slots);
  put_customer (world, "ana", 1);
  put_customer (world, "ben", 2);
  put_profile (world, "retry", CATALOG_DURABLE, true);
  put_profile (world, "once", CATALOG_DURABLE, false);
  put_profile (world, "quick", CATALOG_QUICK, true);
  put_profile (world, "cheap", CATALOG_DISPOSABLE, true);
  catalog_put_service (&world->catalog, &service);
  world->pool_id = catalog_id ("pool");
  for (i = 0; i < upstreams; i++)
    {
      world->upstreams[i] = catalog_upstream_id ("pool", list[i].address);
      entry = slots_add (&world->slots, world->upstreams[i], world->pool_id);
      entry->capacity = 1;
      entry->expiry_ns = UINT64_MAX;
    }
  world->ledger = ledger_new ((struct ledger_origin){ 1, 1 });
  config.catalog = &world->catalog;
  config.ledger = world->ledger;
  config.slots = &world->slots;
  world->dispatch = dispatch_new (&config);
}

static void
world_finish (struct world *world)
{
  dispatch_free (world->dispatch);
  dispatch_actions_finish (&world->actions);
  ledger_free (world->ledger);
  slots_finish (&world->slots);
  catalog_finish (&world->catalog);
}

static void
handle (struct world *world, const struct dispatch_event *event)
{
  world->actions.count = 0;
  CU_ASSERT_EQUAL (
      dispatch_handle (world->dispatch, event, world->now_ns, &world->actions),
      0);
}

static void
arrive (struct world *world, uint64_t request, const char *customer,
        const char *profile)
{
  handle (world, &(struct dispatch_event){
                     .kind = DISPATCH_ARRIVED,
                     .request = request,
                     .u.arrival = { .customer_id = catalog_id (customer),
                                    .profile_id = catalog_id (profile),
                                    .input_tokens = 10 },
                 });
}

static void
step (struct world *world, uint64_t request, uint32_t attempt,
      enum dispatch_event_kind kind)
{
  handle (world, &(struct dispatch_event){
                     .kind = kind, .request = request, .attempt = attempt });
}

/* Takes an attempt from its start to its whole request being handed over. */
static void
send_whole (struct world *world, uint64_t request, uint32_t attempt)
{
  step (world, request, attempt, DISPATCH_CONNECTING);
  step (world, request, attempt, DISPATCH_SENDING);
  step (world, request, attempt, DISPATCH_SENT);
}

static void
fail (struct world *world, uint64_t request, uint32_t attempt, int error)
{
  handle (world, &(struct dispatch_event){ .kind = DISPATCH_FAILED,
                                           .request = request,
                                           .attempt = attempt,
                                           .u.failure = { .error = error } });
}

static void
complete (struct world *world, uint64_t request, uint32_t attempt,
          uint64_t output_tokens)
{
  step (world, request, attempt, DISPATCH_RESPONDING);
  handle (world, &(struct dispatch_event){
                     .kind = DISPATCH_COMPLETED,
                     .request = request,
                     .attempt = attempt,
                     .u.progress = { .output_tokens = output_tokens } });
}

static void
tick (struct world *world, uint64_t advance_ms)
{
  world->now_ns += advance_ms * MS;
  handle (world, &(struct dispatch_event){ .kind = DISPATCH_TICK });
}

/* The action of a kind that concerns a request; NULL when there is none. */
static const struct dispatch_action *
find (const struct world *world, enum dispatch_action_kind kind,
      uint64_t request)
{
  size_t i;

  for (i = 0; i < world->actions.count; i++)
    if (world->actions.items[i].kind == kind
        && world->actions.items[i].request == request)
      return &world->actions.items[i];
  return NULL;
}

/* The same by value; its kind is DISPATCH_ACTION_MAX when there is none. */
static struct dispatch_action
take (const struct world *world, enum dispatch_action_kind kind,
      uint64_t request)
{
  const struct dispatch_action *action = find (world, kind, request);
  const struct dispatch_action none = { .kind = DISPATCH_ACTION_MAX };

  CU_ASSERT_PTR_NOT_NULL (action);
  return action == NULL ? none : *action;
}

static void
check_refused (const struct world *world, uint64_t request,
               enum refusal refusal, enum verdict verdict)
{
  struct dispatch_action action = take (world, DISPATCH_REFUSE, request);

  CU_ASSERT_EQUAL (action.refusal, refusal);
  CU_ASSERT_EQUAL (action.verdict, verdict);
  CU_ASSERT_PTR_NOT_NULL (find (world, DISPATCH_RELEASE, request));
  CU_ASSERT_PTR_NULL (dispatch_attempt (world->dispatch, request));
}

static uint32_t
busy (const struct world *world)
{
  const struct slots_entry *entry;
  uint32_t count = 0;

  for (entry = world->slots.entries; entry != NULL; entry = entry->hh.next)
    count += entry->busy;
  return count;
}

static void
test_not_idempotent_moves_only_while_not_run (void)
{
  struct dispatch_action first;
  struct dispatch_action second;
  struct world world;

  world_init (&world, 2);
  arrive (&world, 1, "ana", "once");
  first = take (&world, DISPATCH_CONNECT, 1);
  step (&world, 1, 1, DISPATCH_CONNECTING);
  fail (&world, 1, 1, ERR_REFUSED);
  second = take (&world, DISPATCH_CONNECT, 1);
  CU_ASSERT_EQUAL (second.attempt, 2);
  CU_ASSERT_NOT_EQUAL (second.upstream_id, first.upstream_id);
  step (&world, 1, 2, DISPATCH_CONNECTING);
  step (&world, 1, 2, DISPATCH_SENDING);
  fail (&world, 1, 2, ERR_RESET);
  CU_ASSERT_PTR_NULL (find (&world, DISPATCH_CONNECT, 1));
  check_refused (&world, 1, REFUSAL_UPSTREAM_FAILED, VERDICT_MAY_HAVE_RUN);
  CU_ASSERT_EQUAL (busy (&world), 0);
  world_finish (&world);
}

static void
test_upstream_refusal_did_not_run (void)
{
  struct world world;
  uint32_t attempt;

  world_init (&world, 2);
  arrive (&world, 1, "ana", "once");
  for (attempt = 1; attempt <= 3; attempt++)
    {
      CU_ASSERT_PTR_NOT_NULL (find (&world, DISPATCH_CONNECT, 1));
      send_whole (&world, 1, attempt);
      fail (&world, 1, attempt, ERR_UNAVAILABLE);
    }
  check_refused (&world, 1, REFUSAL_UPSTREAM_FAILED, VERDICT_NOT_RUN);
  world_finish (&world);
}

static void
test_late_events_of_an_attempt (void)
{
  struct world world;

  world_init (&world, 2);
  arrive (&world, 1, "ana", "retry");
  send_whole (&world, 1, 1);
  fail (&world, 1, 1, ERR_RESET);
  complete (&world, 1, 1, 5);
  CU_ASSERT_EQUAL (world.actions.count, 0);
  fail (&world, 1, 1, ERR_RESET);
  CU_ASSERT_EQUAL (world.actions.count, 0);
  send_whole (&world, 1, 2);
  complete (&world, 1, 2, 5);
  CU_ASSERT_PTR_NOT_NULL (find (&world, DISPATCH_FINISH, 1));
  CU_ASSERT_EQUAL (busy (&world), 0);
  world_finish (&world);
}

static void
test_limits (void)
{
  struct world world;
  uint64_t request;

  world_init (&world, 1);
  arrive (&world, 1, "ana", "retry");
  for (request = 2; request <= 5; request++)
    {
      arrive (&world, request, "ana", "retry");
      CU_ASSERT_EQUAL (world.actions.count, 0);
    }
  arrive (&world, 6, "ana", "retry");
  check_refused (&world, 6, REFUSAL_PROFILE_LIMIT, VERDICT_NOT_RUN);
  arrive (&world, 7, "ana", "cheap");
  CU_ASSERT_EQUAL (world.actions.count, 0);
  arrive (&world, 8, "ana", "once");
  check_refused (&world, 8, REFUSAL_CUSTOMER_LIMIT, VERDICT_NOT_RUN);
  arrive (&world, 9, "ben", "once");
  CU_ASSERT_EQUAL (world.actions.count, 0);
  /* Full: room is made by the disposable, and by nothing else. */
  arrive (&world, 10, "ben", "once");
  check_refused (&world, 7, REFUSAL_SHED, VERDICT_NOT_RUN);
  CU_ASSERT_PTR_NULL (find (&world, DISPATCH_REFUSE, 10));
  arrive (&world, 11, "ben", "once");
  check_refused (&world, 11, REFUSAL_ROUTER_FULL, VERDICT_NOT_RUN);
  CU_ASSERT_EQUAL (dispatch_waiting (world.dispatch), WAITING_MAX);
  world_finish (&world);
}

static void
test_class_orders_one_customers_requests (void)
{
  struct world world;

  world_init (&world, 1);
  arrive (&world, 1, "ana", "retry");
  arrive (&world, 2, "ana", "cheap");
  arrive (&world, 3, "ana", "retry");
  arrive (&world, 4, "ana", "quick");
  send_whole (&world, 1, 1);
  complete (&world, 1, 1, 1);
  CU_ASSERT_PTR_NOT_NULL (find (&world, DISPATCH_CONNECT, 4));
  world_finish (&world);
}

/* Of ten slots that come free, a quarter's worth of service may go to quick
   requests of a customer that is far ahead; its account is charged all the
   same. */
static void
test_quick_requests_ahead_of_turn (void)
{
  struct world world;
  uint64_t request;
  uint64_t next = 1;
  unsigned int quick = 0;

  world_init (&world, 1);
  for (request = 1; request <= 4; request++)
    {
      arrive (&world, request, "ben", "retry");
      send_whole (&world, request, 1);
      complete (&world, request, 1, 45);
    }
  ledger_charge (world.ledger, catalog_id ("ben"), world.pool_id, 100000, 1);
  request = 10;
  arrive (&world, request, "ana", "retry");
  for (next = 11; next <= 30; next++)
    {
      arrive (&world, next, "ana", "retry");
      arrive (&world, next + 100, "ben", "quick");
      send_whole (&world, request, 1);
      complete (&world, request, 1, 45);
      CU_ASSERT_EQUAL (world.actions.items[2].kind, DISPATCH_CONNECT);
      request = world.actions.items[2].request;
      quick += request > 100;
      if (request > 100)
        step (&world, next, 0, DISPATCH_CLIENT_GONE);
      else
        step (&world, next + 100, 0, DISPATCH_CLIENT_GONE);
    }
  CU_ASSERT (quick >= 3 && quick <= 6);
  world_finish (&world);
}

static void
test_deadlines (void)
{
  struct world world;

  world_init (&world, 2);
  arrive (&world, 1, "ana", "retry");
  arrive (&world, 2, "ana", "retry");
  arrive (&world, 3, "ana", "retry");
  send_whole (&world, 1, 1);
  send_whole (&world, 2, 1);
  step (&world, 2, 1, DISPATCH_RESPONDING);
  handle (&world, &(struct dispatch_event){ .kind = DISPATCH_PROGRESS,
                                            .request = 2,
                                            .attempt = 1,
                                            .u.progress
                                            = { .client_started = true } });
  tick (&world, DEADLINE_MS - 1);
  CU_ASSERT_EQUAL (world.actions.count, 0);
  tick (&world, 1);
  check_refused (&world, 3, REFUSAL_DEADLINE, VERDICT_NOT_RUN);
  CU_ASSERT_PTR_NOT_NULL (find (&world, DISPATCH_CANCEL, 1));
  check_refused (&world, 1, REFUSAL_DEADLINE, VERDICT_MAY_HAVE_RUN);
  CU_ASSERT_PTR_NOT_NULL (find (&world, DISPATCH_CANCEL, 2));
  CU_ASSERT_PTR_NOT_NULL (find (&world, DISPATCH_ABORT, 2));
  CU_ASSERT_PTR_NULL (find (&world, DISPATCH_REFUSE, 2));
  CU_ASSERT_EQUAL (busy (&world), 0);
  CU_ASSERT_EQUAL (dispatch_total (world.dispatch), 0);
  world_finish (&world);
}

/* A dead service is called at most 1.1 times as often as it is asked for,
   but for the ten retries saved up. */
static void
test_no_retry_storm (void)
{
  const uint32_t offered = 1000;
  struct world world;
  uint32_t attempts = 0;
  uint64_t request;
  uint32_t number;

  world_init (&world, 1);
  for (request = 1; request <= offered; request++)
    {
      world.now_ns += 2 * MS * DISPATCH_BACKOFF_MAX_MS;
      arrive (&world, request, "ana", "retry");
      for (number = 1; find (&world, DISPATCH_CONNECT, request) != NULL;
           number++)
        {
          attempts++;
          send_whole (&world, request, number);
          fail (&world, request, number, ERR_RESET);
        }
      CU_ASSERT_PTR_NOT_NULL (find (&world, DISPATCH_REFUSE, request));
    }
  CU_ASSERT (attempts <= offered + offered / 10 + 10);
  CU_ASSERT (attempts > offered);
  world_finish (&world);
}

static void
test_backoff_after_refused_connections (void)
{
  struct world world;

  world_init (&world, 1);
  arrive (&world, 1, "ana", "once");
  fail (&world, 1, 1, ERR_REFUSED);
  CU_ASSERT_EQUAL (world.actions.count, 0);
  tick (&world, DISPATCH_BACKOFF_MIN_MS - 1);
  CU_ASSERT_EQUAL (world.actions.count, 0);
  tick (&world, 1);
  CU_ASSERT_PTR_NOT_NULL (find (&world, DISPATCH_CONNECT, 1));
  world_finish (&world);
}

static void
test_draining_upstream_gets_no_new_work (void)
{
  struct world world;

  world_init (&world, 1);
  arrive (&world, 1, "ana", "retry");
  arrive (&world, 2, "ana", "retry");
  send_whole (&world, 1, 1);
  handle (&world,
          &(struct dispatch_event){ .kind = DISPATCH_PROGRESS,
                                    .request = 1,
                                    .attempt = 1,
                                    .u.progress = { .draining = true } });
  complete (&world, 1, 1, 1);
  CU_ASSERT_PTR_NOT_NULL (find (&world, DISPATCH_FINISH, 1));
  CU_ASSERT_PTR_NULL (find (&world, DISPATCH_CONNECT, 2));
  arrive (&world, 3, "ana", "retry");
  check_refused (&world, 3, REFUSAL_NO_UPSTREAM, VERDICT_NOT_RUN);
  world_finish (&world);
}

static void
test_waiting_requests_of_a_removed_service (void)
{
  struct world world;

  world_init (&world, 1);
  arrive (&world, 1, "ana", "retry");
  arrive (&world, 2, "ana", "retry");
  catalog_remove_service (&world.catalog, "pool");
  handle (&world,
          &(struct dispatch_event){ .kind = DISPATCH_CAPACITY_CHANGED });
  check_refused (&world, 2, REFUSAL_NO_UPSTREAM, VERDICT_NOT_RUN);
  send_whole (&world, 1, 1);
  complete (&world, 1, 1, 1);
  CU_ASSERT_PTR_NOT_NULL (find (&world, DISPATCH_FINISH, 1));
  world_finish (&world);
}

static void
test_client_gone_frees_its_slot (void)
{
  struct world world;

  world_init (&world, 1);
  arrive (&world, 1, "ana", "retry");
  arrive (&world, 2, "ana", "retry");
  arrive (&world, 3, "ana", "retry");
  step (&world, 2, 0, DISPATCH_CLIENT_GONE);
  CU_ASSERT_PTR_NOT_NULL (find (&world, DISPATCH_RELEASE, 2));
  CU_ASSERT_PTR_NULL (find (&world, DISPATCH_CANCEL, 2));
  send_whole (&world, 1, 1);
  step (&world, 1, 0, DISPATCH_CLIENT_GONE);
  CU_ASSERT_PTR_NOT_NULL (find (&world, DISPATCH_CANCEL, 1));
  CU_ASSERT_PTR_NOT_NULL (find (&world, DISPATCH_CONNECT, 3));
  step (&world, 3, 0, DISPATCH_CLIENT_GONE);
  CU_ASSERT_PTR_NOT_NULL (find (&world, DISPATCH_SLOT_IDLE, 0));
  CU_ASSERT_EQUAL (busy (&world), 0);
  world_finish (&world);
}

/* Whatever was estimated, the position in the end is what was used. */
static void
test_account_is_settled (void)
{
  const uint64_t ana = catalog_id ("ana");
  const uint64_t ben = catalog_id ("ben");
  struct world world;
  uint64_t pool;

  world_init (&world, 2);
  pool = world.pool_id;
  arrive (&world, 1, "ana", "retry");
  arrive (&world, 2, "ben", "retry");
  CU_ASSERT_EQUAL (ledger_position (world.ledger, ana, pool), 100 * SCALE);
  CU_ASSERT_EQUAL (ledger_position (world.ledger, ben, pool), 50 * SCALE);
  send_whole (&world, 1, 1);
  step (&world, 1, 1, DISPATCH_RESPONDING);
  handle (&world,
          &(struct dispatch_event){ .kind = DISPATCH_PROGRESS,
                                    .request = 1,
                                    .attempt = 1,
                                    .u.progress = { .output_tokens = 60 } });
  /* What was produced and, while it runs, the reserve of 100. */
  CU_ASSERT_EQUAL (ledger_position (world.ledger, ana, pool), 230 * SCALE);
  step (&world, 1, 0, DISPATCH_CLIENT_GONE);
  CU_ASSERT_EQUAL (ledger_position (world.ledger, ana, pool), 130 * SCALE);
  send_whole (&world, 2, 1);
  complete (&world, 2, 1, 5);
  CU_ASSERT_EQUAL (ledger_position (world.ledger, ben, pool), 10 * SCALE);
  /* What never reached an upstream costs nothing. */
  arrive (&world, 3, "ben", "once");
  step (&world, 3, 0, DISPATCH_CLIENT_GONE);
  CU_ASSERT_EQUAL (ledger_position (world.ledger, ben, pool), 10 * SCALE);
  world_finish (&world);
}

/* A plain service is paid for in slot time, while it runs. */
static void
test_plain_service_is_charged_by_time (void)
{
  struct catalog_upstream upstream
      = { .address = "127.0.0.1:3", .availability_zone = "a", .slots = 1 };
  struct catalog_service service = { .name = "farm",
                                     .kind = CATALOG_PLAIN,
                                     .upstream_count = 1,
                                     .upstreams = &upstream };
  struct catalog_profile profile = { .name = "job",
                                     .service = "farm",
                                     .deadline_ms = 10 * DEADLINE_MS,
                                     .queue_limit = 4,
                                     .attempts_max = 1,
                                     .cost_hint = 50 };
  const uint64_t ana = catalog_id ("ana");
  const uint64_t farm = catalog_id ("farm");
  struct slots_entry *entry;
  struct world world;

  world_init (&world, 1);
  catalog_put_service (&world.catalog, &service);
  catalog_put_profile (&world.catalog, &profile);
  entry = slots_add (&world.slots,
                     catalog_upstream_id ("farm", upstream.address), farm);
  entry->capacity = 1;
  entry->expiry_ns = UINT64_MAX;
  arrive (&world, 1, "ana", "job");
  CU_ASSERT_EQUAL (ledger_position (world.ledger, ana, farm), 50 * SCALE);
  send_whole (&world, 1, 1);
  tick (&world, 400);
  CU_ASSERT_EQUAL (ledger_position (world.ledger, ana, farm), 450 * SCALE);
  world.now_ns += 20 * MS;
  complete (&world, 1, 1, 0);
  CU_ASSERT_EQUAL (ledger_position (world.ledger, ana, farm), 420 * SCALE);
  world_finish (&world);
}

static void
test_idleness_earns_no_credit (void)
{
  struct world world;
  uint64_t request;

  world_init (&world, 1);
  for (request = 1; request <= 20; request++)
    {
      arrive (&world, request, "ana", "retry");
      send_whole (&world, request, 1);
      complete (&world, request, 1, 45);
    }
  arrive (&world, 100, "ana", "retry");
  arrive (&world, 101, "ana", "retry");
  arrive (&world, 102, "ben", "retry");
  CU_ASSERT (ledger_position (world.ledger, catalog_id ("ben"), world.pool_id)
             >= 1900 * SCALE);
  world_finish (&world);
}

static void
test_resume (void)
{
  struct dispatch_event failure = { .kind = DISPATCH_FAILED,
                                    .request = 1,
                                    .attempt = 1,
                                    .u.failure = { .error = ERR_TRUNCATED,
                                                   .resumable = true,
                                                   .client_started = true } };
  struct dispatch_action action;
  struct world world;

  world_init (&world, 2);
  arrive (&world, 1, "ana", "retry");
  send_whole (&world, 1, 1);
  step (&world, 1, 1, DISPATCH_RESPONDING);
  handle (&world, &failure);
  action = take (&world, DISPATCH_CONNECT, 1);
  CU_ASSERT_TRUE (action.resume);
  failure.attempt = 2;
  failure.u.failure.resumable = false;
  handle (&world, &failure);
  CU_ASSERT_PTR_NOT_NULL (find (&world, DISPATCH_ABORT, 1));
  CU_ASSERT_PTR_NULL (find (&world, DISPATCH_REFUSE, 1));
  world_finish (&world);
}

static void
test_drain (void)
{
  struct world world;

  world_init (&world, 1);
  arrive (&world, 1, "ana", "retry");
  arrive (&world, 2, "ana", "retry");
  handle (&world, &(struct dispatch_event){ .kind = DISPATCH_DRAIN });
  arrive (&world, 3, "ana", "retry");
  check_refused (&world, 3, REFUSAL_DRAINING, VERDICT_NOT_RUN);
  send_whole (&world, 1, 1);
  complete (&world, 1, 1, 1);
  CU_ASSERT_PTR_NOT_NULL (find (&world, DISPATCH_CONNECT, 2));
  world_finish (&world);
}

static const struct suite_test tests[] = {
  { "not idempotent moves only while not run",
    test_not_idempotent_moves_only_while_not_run },
  { "an upstream's refusal did not run", test_upstream_refusal_did_not_run },
  { "late events of an attempt", test_late_events_of_an_attempt },
  { "limits", test_limits },
  { "class orders one customer's requests",
    test_class_orders_one_customers_requests },
  { "quick requests ahead of turn", test_quick_requests_ahead_of_turn },
  { "deadlines", test_deadlines },
  { "no retry storm", test_no_retry_storm },
  { "backoff after refused connections",
    test_backoff_after_refused_connections },
  { "a draining upstream gets no new work",
    test_draining_upstream_gets_no_new_work },
  { "waiting requests of a removed service",
    test_waiting_requests_of_a_removed_service },
  { "client gone frees its slot", test_client_gone_frees_its_slot },
  { "account is settled", test_account_is_settled },
  { "a plain service is charged by time",
    test_plain_service_is_charged_by_time },
  { "idleness earns no credit", test_idleness_earns_no_credit },
  { "resume", test_resume },
  { "drain", test_drain },
};

SUITE_MAIN ("test_dispatch", tests)

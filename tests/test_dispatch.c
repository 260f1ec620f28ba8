/**
 * @file test_dispatch.c
 * Passes events with a simulated time to the dispatcher and checks the
 * resulting actions.
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
#define WAITING_MAX 6 /**< limit on queued requests of the instance */

/** State of one instance with up to two upstreams of one slot each. */
struct fixture
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
put_profile (struct fixture *fixture, const char *name,
             enum catalog_class class, bool idempotent)
{
  struct catalog_profile profile = { .request_class = class,
                                     .idempotent = idempotent,
                                     .deadline_ms = DEADLINE_MS,
                                     .queue_limit = 4,
                                     .attempts_max = 3,
                                     .cost_hint = 100 };

  snprintf (profile.name, sizeof (profile.name), "%s", name);
  snprintf (profile.service, sizeof (profile.service), "pool");
  catalog_put_profile (&fixture->catalog, &profile);
}

static void
put_customer (struct fixture *fixture, const char *name, uint32_t weight)
{
  struct catalog_customer customer = { .weight = weight, .waiting_max = 5 };

  snprintf (customer.name, sizeof (customer.name), "%s", name);
  catalog_put_customer (&fixture->catalog, &customer);
}

static void
fixture_init (struct fixture *fixture, size_t upstreams)
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

  memset (fixture, 0, sizeof (*fixture));
  fixture->now_ns = MS;
  catalog_init (&fixture->catalog);
  slots_init (&fixture->slots);
  put_customer (fixture, "ana", 1);
  put_customer (fixture, "ben", 2);
  put_profile (fixture, "retry", CATALOG_DURABLE, true);
  put_profile (fixture, "once", CATALOG_DURABLE, false);
  put_profile (fixture, "quick", CATALOG_QUICK, true);
  put_profile (fixture, "cheap", CATALOG_DISPOSABLE, true);
  catalog_put_service (&fixture->catalog, &service);
  fixture->pool_id = catalog_id ("pool");
  for (i = 0; i < upstreams; i++)
    {
      fixture->upstreams[i] = catalog_upstream_id ("pool", list[i].address);
      entry = slots_add (&fixture->slots, fixture->upstreams[i],
                         fixture->pool_id);
      entry->capacity = 1;
      entry->expiry_ns = UINT64_MAX;
    }
  fixture->ledger = ledger_new ((struct ledger_origin){ 1, 1 });
  config.catalog = &fixture->catalog;
  config.ledger = fixture->ledger;
  config.slots = &fixture->slots;
  fixture->dispatch = dispatch_new (&config);
}

static void
fixture_finish (struct fixture *fixture)
{
  dispatch_free (fixture->dispatch);
  dispatch_actions_finish (&fixture->actions);
  ledger_free (fixture->ledger);
  slots_finish (&fixture->slots);
  catalog_finish (&fixture->catalog);
}

static void
handle (struct fixture *fixture, const struct dispatch_event *event)
{
  fixture->actions.count = 0;
  CU_ASSERT_EQUAL (dispatch_handle (fixture->dispatch, event, fixture->now_ns,
                                    &fixture->actions),
                   0);
}

static void
add_request (struct fixture *fixture, uint64_t request, const char *customer,
             const char *profile)
{
  handle (fixture, &(struct dispatch_event){
                       .kind = DISPATCH_ARRIVED,
                       .request = request,
                       .u.arrival = { .customer_id = catalog_id (customer),
                                      .profile_id = catalog_id (profile),
                                      .input_tokens = 10 },
                   });
}

/* Handles an event that carries no further data. */
static void
handle_kind (struct fixture *fixture, uint64_t request, uint32_t attempt,
             enum dispatch_event_kind kind)
{
  handle (fixture, &(struct dispatch_event){
                       .kind = kind, .request = request, .attempt = attempt });
}

/* Reports that an attempt connected and sent the complete request. */
static void
send_request (struct fixture *fixture, uint64_t request, uint32_t attempt)
{
  handle_kind (fixture, request, attempt, DISPATCH_CONNECTING);
  handle_kind (fixture, request, attempt, DISPATCH_SENDING);
  handle_kind (fixture, request, attempt, DISPATCH_SENT);
}

static void
fail_attempt (struct fixture *fixture, uint64_t request, uint32_t attempt,
              int error)
{
  handle (fixture,
          &(struct dispatch_event){ .kind = DISPATCH_FAILED,
                                    .request = request,
                                    .attempt = attempt,
                                    .u.failure = { .error = error } });
}

static void
complete_attempt (struct fixture *fixture, uint64_t request, uint32_t attempt,
                  uint64_t output_tokens)
{
  handle_kind (fixture, request, attempt, DISPATCH_RESPONDING);
  handle (fixture, &(struct dispatch_event){
                       .kind = DISPATCH_COMPLETED,
                       .request = request,
                       .attempt = attempt,
                       .u.progress = { .output_tokens = output_tokens } });
}

static void
tick (struct fixture *fixture, uint64_t advance_ms)
{
  fixture->now_ns += advance_ms * MS;
  handle (fixture, &(struct dispatch_event){ .kind = DISPATCH_TICK });
}

/* Finds the action of a kind for a request; NULL if there is none. */
static const struct dispatch_action *
find_action (const struct fixture *fixture, enum dispatch_action_kind kind,
             uint64_t request)
{
  size_t i;

  for (i = 0; i < fixture->actions.count; i++)
    if (fixture->actions.items[i].kind == kind
        && fixture->actions.items[i].request == request)
      return &fixture->actions.items[i];
  return NULL;
}

/* Asserts that the action exists and returns a copy of it; the kind of the
   copy is DISPATCH_ACTION_MAX if there is none. */
static struct dispatch_action
get_action (const struct fixture *fixture, enum dispatch_action_kind kind,
            uint64_t request)
{
  const struct dispatch_action *action = find_action (fixture, kind, request);
  const struct dispatch_action none = { .kind = DISPATCH_ACTION_MAX };

  CU_ASSERT_PTR_NOT_NULL (action);
  return action == NULL ? none : *action;
}

static void
check_refused (const struct fixture *fixture, uint64_t request,
               enum refusal refusal, enum verdict verdict)
{
  struct dispatch_action action
      = get_action (fixture, DISPATCH_REFUSE, request);

  CU_ASSERT_EQUAL (action.refusal, refusal);
  CU_ASSERT_EQUAL (action.verdict, verdict);
  CU_ASSERT_PTR_NOT_NULL (find_action (fixture, DISPATCH_RELEASE, request));
  CU_ASSERT_PTR_NULL (dispatch_attempt (fixture->dispatch, request));
}

static uint32_t
busy_slots (const struct fixture *fixture)
{
  const struct slots_entry *entry;
  uint32_t count = 0;

  for (entry = fixture->slots.entries; entry != NULL; entry = entry->hh.next)
    count += entry->busy;
  return count;
}

static void
test_non_idempotent_retry (void)
{
  struct dispatch_action first;
  struct dispatch_action second;
  struct fixture fixture;

  fixture_init (&fixture, 2);
  add_request (&fixture, 1, "ana", "once");
  first = get_action (&fixture, DISPATCH_CONNECT, 1);
  handle_kind (&fixture, 1, 1, DISPATCH_CONNECTING);
  fail_attempt (&fixture, 1, 1, ERR_REFUSED);
  second = get_action (&fixture, DISPATCH_CONNECT, 1);
  CU_ASSERT_EQUAL (second.attempt, 2);
  CU_ASSERT_NOT_EQUAL (second.upstream_id, first.upstream_id);
  handle_kind (&fixture, 1, 2, DISPATCH_CONNECTING);
  handle_kind (&fixture, 1, 2, DISPATCH_SENDING);
  fail_attempt (&fixture, 1, 2, ERR_RESET);
  CU_ASSERT_PTR_NULL (find_action (&fixture, DISPATCH_CONNECT, 1));
  check_refused (&fixture, 1, REFUSAL_UPSTREAM_FAILED, VERDICT_MAY_HAVE_RUN);
  CU_ASSERT_EQUAL (busy_slots (&fixture), 0);
  fixture_finish (&fixture);
}

static void
test_rejection_is_not_run (void)
{
  struct fixture fixture;
  uint32_t attempt;

  fixture_init (&fixture, 2);
  add_request (&fixture, 1, "ana", "once");
  for (attempt = 1; attempt <= 3; attempt++)
    {
      CU_ASSERT_PTR_NOT_NULL (find_action (&fixture, DISPATCH_CONNECT, 1));
      send_request (&fixture, 1, attempt);
      fail_attempt (&fixture, 1, attempt, ERR_UNAVAILABLE);
    }
  check_refused (&fixture, 1, REFUSAL_UPSTREAM_FAILED, VERDICT_NOT_RUN);
  fixture_finish (&fixture);
}

static void
test_events_of_earlier_attempt (void)
{
  struct fixture fixture;

  fixture_init (&fixture, 2);
  add_request (&fixture, 1, "ana", "retry");
  send_request (&fixture, 1, 1);
  fail_attempt (&fixture, 1, 1, ERR_RESET);
  complete_attempt (&fixture, 1, 1, 5);
  CU_ASSERT_EQUAL (fixture.actions.count, 0);
  fail_attempt (&fixture, 1, 1, ERR_RESET);
  CU_ASSERT_EQUAL (fixture.actions.count, 0);
  send_request (&fixture, 1, 2);
  complete_attempt (&fixture, 1, 2, 5);
  CU_ASSERT_PTR_NOT_NULL (find_action (&fixture, DISPATCH_FINISH, 1));
  CU_ASSERT_EQUAL (busy_slots (&fixture), 0);
  fixture_finish (&fixture);
}

static void
test_limits (void)
{
  struct fixture fixture;
  uint64_t request;

  fixture_init (&fixture, 1);
  add_request (&fixture, 1, "ana", "retry");
  for (request = 2; request <= 5; request++)
    {
      add_request (&fixture, request, "ana", "retry");
      CU_ASSERT_EQUAL (fixture.actions.count, 0);
    }
  add_request (&fixture, 6, "ana", "retry");
  check_refused (&fixture, 6, REFUSAL_PROFILE_LIMIT, VERDICT_NOT_RUN);
  add_request (&fixture, 7, "ana", "cheap");
  CU_ASSERT_EQUAL (fixture.actions.count, 0);
  add_request (&fixture, 8, "ana", "once");
  check_refused (&fixture, 8, REFUSAL_CUSTOMER_LIMIT, VERDICT_NOT_RUN);
  add_request (&fixture, 9, "ben", "once");
  CU_ASSERT_EQUAL (fixture.actions.count, 0);
  /* The instance is at its limit: only a disposable request is shed to admit
     another. */
  add_request (&fixture, 10, "ben", "once");
  check_refused (&fixture, 7, REFUSAL_SHED, VERDICT_NOT_RUN);
  CU_ASSERT_PTR_NULL (find_action (&fixture, DISPATCH_REFUSE, 10));
  add_request (&fixture, 11, "ben", "once");
  check_refused (&fixture, 11, REFUSAL_ROUTER_FULL, VERDICT_NOT_RUN);
  CU_ASSERT_EQUAL (dispatch_waiting (fixture.dispatch), WAITING_MAX);
  fixture_finish (&fixture);
}

static void
test_order_by_class (void)
{
  struct fixture fixture;

  fixture_init (&fixture, 1);
  add_request (&fixture, 1, "ana", "retry");
  add_request (&fixture, 2, "ana", "cheap");
  add_request (&fixture, 3, "ana", "retry");
  add_request (&fixture, 4, "ana", "quick");
  send_request (&fixture, 1, 1);
  complete_attempt (&fixture, 1, 1, 1);
  CU_ASSERT_PTR_NOT_NULL (find_action (&fixture, DISPATCH_CONNECT, 4));
  fixture_finish (&fixture);
}

/* Service given out of turn, to quick requests of a customer whose position is
   far ahead, is limited to quick_permille (a quarter here) of the service
   given in turn: about 4 of 20 requests.  It is charged to the customer as
   usual. */
static void
test_quick_out_of_turn (void)
{
  struct fixture fixture;
  uint64_t request;
  uint64_t next = 1;
  unsigned int quick = 0;

  fixture_init (&fixture, 1);
  for (request = 1; request <= 4; request++)
    {
      add_request (&fixture, request, "ben", "retry");
      send_request (&fixture, request, 1);
      complete_attempt (&fixture, request, 1, 45);
    }
  ledger_charge (fixture.ledger, catalog_id ("ben"), fixture.pool_id, 100000,
                 1);
  request = 10;
  add_request (&fixture, request, "ana", "retry");
  for (next = 11; next <= 30; next++)
    {
      add_request (&fixture, next, "ana", "retry");
      add_request (&fixture, next + 100, "ben", "quick");
      send_request (&fixture, request, 1);
      complete_attempt (&fixture, request, 1, 45);
      CU_ASSERT_EQUAL (fixture.actions.items[2].kind, DISPATCH_CONNECT);
      request = fixture.actions.items[2].request;
      quick += request > 100;
      if (request > 100)
        handle_kind (&fixture, next, 0, DISPATCH_CLIENT_DISCONNECTED);
      else
        handle_kind (&fixture, next + 100, 0, DISPATCH_CLIENT_DISCONNECTED);
    }
  CU_ASSERT (quick >= 3 && quick <= 6);
  fixture_finish (&fixture);
}

static void
test_deadlines (void)
{
  struct fixture fixture;

  fixture_init (&fixture, 2);
  add_request (&fixture, 1, "ana", "retry");
  add_request (&fixture, 2, "ana", "retry");
  add_request (&fixture, 3, "ana", "retry");
  send_request (&fixture, 1, 1);
  send_request (&fixture, 2, 1);
  handle_kind (&fixture, 2, 1, DISPATCH_RESPONDING);
  handle (&fixture, &(struct dispatch_event){ .kind = DISPATCH_PROGRESS,
                                              .request = 2,
                                              .attempt = 1,
                                              .u.progress
                                              = { .client_started = true } });
  tick (&fixture, DEADLINE_MS - 1);
  CU_ASSERT_EQUAL (fixture.actions.count, 0);
  tick (&fixture, 1);
  check_refused (&fixture, 3, REFUSAL_DEADLINE, VERDICT_NOT_RUN);
  CU_ASSERT_PTR_NOT_NULL (find_action (&fixture, DISPATCH_CANCEL, 1));
  check_refused (&fixture, 1, REFUSAL_DEADLINE, VERDICT_MAY_HAVE_RUN);
  CU_ASSERT_PTR_NOT_NULL (find_action (&fixture, DISPATCH_CANCEL, 2));
  CU_ASSERT_PTR_NOT_NULL (find_action (&fixture, DISPATCH_ABORT, 2));
  CU_ASSERT_PTR_NULL (find_action (&fixture, DISPATCH_REFUSE, 2));
  CU_ASSERT_EQUAL (busy_slots (&fixture), 0);
  CU_ASSERT_EQUAL (dispatch_total (fixture.dispatch), 0);
  fixture_finish (&fixture);
}

/* A service that fails every request receives at most 1.1 attempts per
   request, plus the ten retries that the budget holds initially. */
static void
test_retry_budget (void)
{
  const uint32_t offered = 1000;
  struct fixture fixture;
  uint32_t attempts = 0;
  uint64_t request;
  uint32_t number;

  fixture_init (&fixture, 1);
  for (request = 1; request <= offered; request++)
    {
      fixture.now_ns += 2 * MS * DISPATCH_BACKOFF_MAX_MS;
      add_request (&fixture, request, "ana", "retry");
      for (number = 1;
           find_action (&fixture, DISPATCH_CONNECT, request) != NULL; number++)
        {
          attempts++;
          send_request (&fixture, request, number);
          fail_attempt (&fixture, request, number, ERR_RESET);
        }
      CU_ASSERT_PTR_NOT_NULL (
          find_action (&fixture, DISPATCH_REFUSE, request));
    }
  CU_ASSERT (attempts <= offered + offered / 10 + 10);
  CU_ASSERT (attempts > offered);
  fixture_finish (&fixture);
}

static void
test_connect_backoff (void)
{
  struct fixture fixture;

  fixture_init (&fixture, 1);
  add_request (&fixture, 1, "ana", "once");
  fail_attempt (&fixture, 1, 1, ERR_REFUSED);
  CU_ASSERT_EQUAL (fixture.actions.count, 0);
  tick (&fixture, DISPATCH_BACKOFF_MIN_MS - 1);
  CU_ASSERT_EQUAL (fixture.actions.count, 0);
  tick (&fixture, 1);
  CU_ASSERT_PTR_NOT_NULL (find_action (&fixture, DISPATCH_CONNECT, 1));
  fixture_finish (&fixture);
}

static void
test_draining_upstream (void)
{
  struct fixture fixture;

  fixture_init (&fixture, 1);
  add_request (&fixture, 1, "ana", "retry");
  add_request (&fixture, 2, "ana", "retry");
  send_request (&fixture, 1, 1);
  handle (&fixture,
          &(struct dispatch_event){ .kind = DISPATCH_PROGRESS,
                                    .request = 1,
                                    .attempt = 1,
                                    .u.progress = { .draining = true } });
  complete_attempt (&fixture, 1, 1, 1);
  CU_ASSERT_PTR_NOT_NULL (find_action (&fixture, DISPATCH_FINISH, 1));
  CU_ASSERT_PTR_NULL (find_action (&fixture, DISPATCH_CONNECT, 2));
  add_request (&fixture, 3, "ana", "retry");
  check_refused (&fixture, 3, REFUSAL_NO_UPSTREAM, VERDICT_NOT_RUN);
  fixture_finish (&fixture);
}

static void
test_removed_service (void)
{
  struct fixture fixture;

  fixture_init (&fixture, 1);
  add_request (&fixture, 1, "ana", "retry");
  add_request (&fixture, 2, "ana", "retry");
  catalog_remove_service (&fixture.catalog, "pool");
  handle (&fixture,
          &(struct dispatch_event){ .kind = DISPATCH_CAPACITY_CHANGED });
  check_refused (&fixture, 2, REFUSAL_NO_UPSTREAM, VERDICT_NOT_RUN);
  send_request (&fixture, 1, 1);
  complete_attempt (&fixture, 1, 1, 1);
  CU_ASSERT_PTR_NOT_NULL (find_action (&fixture, DISPATCH_FINISH, 1));
  fixture_finish (&fixture);
}

static void
test_client_disconnect (void)
{
  struct fixture fixture;

  fixture_init (&fixture, 1);
  add_request (&fixture, 1, "ana", "retry");
  add_request (&fixture, 2, "ana", "retry");
  add_request (&fixture, 3, "ana", "retry");
  handle_kind (&fixture, 2, 0, DISPATCH_CLIENT_DISCONNECTED);
  CU_ASSERT_PTR_NOT_NULL (find_action (&fixture, DISPATCH_RELEASE, 2));
  CU_ASSERT_PTR_NULL (find_action (&fixture, DISPATCH_CANCEL, 2));
  send_request (&fixture, 1, 1);
  handle_kind (&fixture, 1, 0, DISPATCH_CLIENT_DISCONNECTED);
  CU_ASSERT_PTR_NOT_NULL (find_action (&fixture, DISPATCH_CANCEL, 1));
  CU_ASSERT_PTR_NOT_NULL (find_action (&fixture, DISPATCH_CONNECT, 3));
  handle_kind (&fixture, 3, 0, DISPATCH_CLIENT_DISCONNECTED);
  CU_ASSERT_PTR_NOT_NULL (find_action (&fixture, DISPATCH_SLOT_IDLE, 0));
  CU_ASSERT_EQUAL (busy_slots (&fixture), 0);
  fixture_finish (&fixture);
}

/* When a request ends, its estimated charge is replaced by its actual cost. */
static void
test_charge_settlement (void)
{
  const uint64_t ana = catalog_id ("ana");
  const uint64_t ben = catalog_id ("ben");
  struct fixture fixture;
  uint64_t pool;

  fixture_init (&fixture, 2);
  pool = fixture.pool_id;
  add_request (&fixture, 1, "ana", "retry");
  add_request (&fixture, 2, "ben", "retry");
  CU_ASSERT_EQUAL (ledger_position (fixture.ledger, ana, pool), 100 * SCALE);
  CU_ASSERT_EQUAL (ledger_position (fixture.ledger, ben, pool), 50 * SCALE);
  send_request (&fixture, 1, 1);
  handle_kind (&fixture, 1, 1, DISPATCH_RESPONDING);
  handle (&fixture,
          &(struct dispatch_event){ .kind = DISPATCH_PROGRESS,
                                    .request = 1,
                                    .attempt = 1,
                                    .u.progress = { .output_tokens = 60 } });
  /* The cost so far plus the reserve of 100 for a running request. */
  CU_ASSERT_EQUAL (ledger_position (fixture.ledger, ana, pool), 230 * SCALE);
  handle_kind (&fixture, 1, 0, DISPATCH_CLIENT_DISCONNECTED);
  CU_ASSERT_EQUAL (ledger_position (fixture.ledger, ana, pool), 130 * SCALE);
  send_request (&fixture, 2, 1);
  complete_attempt (&fixture, 2, 1, 5);
  CU_ASSERT_EQUAL (ledger_position (fixture.ledger, ben, pool), 10 * SCALE);
  /* A request that was not sent to an upstream is not charged. */
  add_request (&fixture, 3, "ben", "once");
  handle_kind (&fixture, 3, 0, DISPATCH_CLIENT_DISCONNECTED);
  CU_ASSERT_EQUAL (ledger_position (fixture.ledger, ben, pool), 10 * SCALE);
  fixture_finish (&fixture);
}

/* A plain service is charged in milliseconds of slot time, also while the
   request still runs. */
static void
test_plain_service_charge (void)
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
  struct fixture fixture;

  fixture_init (&fixture, 1);
  catalog_put_service (&fixture.catalog, &service);
  catalog_put_profile (&fixture.catalog, &profile);
  entry = slots_add (&fixture.slots,
                     catalog_upstream_id ("farm", upstream.address), farm);
  entry->capacity = 1;
  entry->expiry_ns = UINT64_MAX;
  add_request (&fixture, 1, "ana", "job");
  CU_ASSERT_EQUAL (ledger_position (fixture.ledger, ana, farm), 50 * SCALE);
  send_request (&fixture, 1, 1);
  tick (&fixture, 400);
  CU_ASSERT_EQUAL (ledger_position (fixture.ledger, ana, farm), 450 * SCALE);
  fixture.now_ns += 20 * MS;
  complete_attempt (&fixture, 1, 1, 0);
  CU_ASSERT_EQUAL (ledger_position (fixture.ledger, ana, farm), 420 * SCALE);
  fixture_finish (&fixture);
}

static void
test_no_credit_for_idle_time (void)
{
  struct fixture fixture;
  uint64_t request;

  fixture_init (&fixture, 1);
  for (request = 1; request <= 20; request++)
    {
      add_request (&fixture, request, "ana", "retry");
      send_request (&fixture, request, 1);
      complete_attempt (&fixture, request, 1, 45);
    }
  add_request (&fixture, 100, "ana", "retry");
  add_request (&fixture, 101, "ana", "retry");
  add_request (&fixture, 102, "ben", "retry");
  CU_ASSERT (
      ledger_position (fixture.ledger, catalog_id ("ben"), fixture.pool_id)
      >= 1900 * SCALE);
  fixture_finish (&fixture);
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
  struct fixture fixture;

  fixture_init (&fixture, 2);
  add_request (&fixture, 1, "ana", "retry");
  send_request (&fixture, 1, 1);
  handle_kind (&fixture, 1, 1, DISPATCH_RESPONDING);
  handle (&fixture, &failure);
  action = get_action (&fixture, DISPATCH_CONNECT, 1);
  CU_ASSERT_TRUE (action.resume);
  failure.attempt = 2;
  failure.u.failure.resumable = false;
  handle (&fixture, &failure);
  CU_ASSERT_PTR_NOT_NULL (find_action (&fixture, DISPATCH_ABORT, 1));
  CU_ASSERT_PTR_NULL (find_action (&fixture, DISPATCH_REFUSE, 1));
  fixture_finish (&fixture);
}

static void
test_drain (void)
{
  struct fixture fixture;

  fixture_init (&fixture, 1);
  add_request (&fixture, 1, "ana", "retry");
  add_request (&fixture, 2, "ana", "retry");
  handle (&fixture, &(struct dispatch_event){ .kind = DISPATCH_DRAIN });
  add_request (&fixture, 3, "ana", "retry");
  check_refused (&fixture, 3, REFUSAL_DRAINING, VERDICT_NOT_RUN);
  send_request (&fixture, 1, 1);
  complete_attempt (&fixture, 1, 1, 1);
  CU_ASSERT_PTR_NOT_NULL (find_action (&fixture, DISPATCH_CONNECT, 2));
  fixture_finish (&fixture);
}

static const struct suite_test tests[] = {
  { "a request that is not idempotent is retried only while not run",
    test_non_idempotent_retry },
  { "rejection by the upstream counts as not run", test_rejection_is_not_run },
  { "events of an earlier attempt are ignored",
    test_events_of_earlier_attempt },
  { "limits on queued requests", test_limits },
  { "requests of a customer are ordered by class", test_order_by_class },
  { "quick requests out of turn are limited", test_quick_out_of_turn },
  { "deadlines", test_deadlines },
  { "retry budget limits retries", test_retry_budget },
  { "backoff after connection failures", test_connect_backoff },
  { "a draining upstream receives no new requests", test_draining_upstream },
  { "queued requests of a removed service are refused", test_removed_service },
  { "client disconnect frees the slot", test_client_disconnect },
  { "charge is settled to the actual cost", test_charge_settlement },
  { "a plain service is charged by slot time", test_plain_service_charge },
  { "idle time earns no credit", test_no_credit_for_idle_time },
  { "an interrupted response is resumed", test_resume },
  { "a draining instance refuses new requests", test_drain },
};

SUITE_MAIN ("test_dispatch", tests)

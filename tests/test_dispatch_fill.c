/**
 * @file test_dispatch_fill.c
 * In a fleet, a limited number of idle slots is filled in each time step; a
 * single instance fills them all at once.
 */
#include "state/dispatch.h"
#include "support/suite.h"

#define SLOTS      80
#define REQUESTS   60
#define STEP_SLOTS (SLOTS / DISPATCH_FILL_STEP_DIVISOR)
#define STEP_NS    (DISPATCH_FILL_STEP_MS * 1000000ULL)

static struct catalog catalog;
static struct slots slots;
static struct ledger *ledger;
static struct dispatch *dispatch;
static uint32_t started_count;
static uint64_t last_started_request;

static void
empty_peer_demand (const void *user, uint64_t customer_id, uint64_t service_id,
                   uint64_t reserve, struct dispatch_peer_demand *out)
{
  (void)reserve;
  (void)user;
  (void)customer_id;
  (void)service_id;
  *out = (struct dispatch_peer_demand){ .customer_waits = false };
}

static void
handle (const struct dispatch_event *event, uint64_t now_ns)
{
  struct dispatch_actions actions = { 0 };
  size_t i;

  CU_ASSERT_EQUAL (dispatch_handle (dispatch, event, now_ns, &actions), 0);
  for (i = 0; i < actions.count; i++)
    if (actions.items[i].kind == DISPATCH_CONNECT)
      {
        started_count++;
        last_started_request = actions.items[i].request;
      }
  dispatch_actions_finish (&actions);
}

static void
set_up (void)
{
  struct catalog_upstream upstream
      = { .address = "127.0.0.1:1", .slots = SLOTS };
  struct catalog_service service = { .name = "model",
                                     .kind = CATALOG_ENGINE,
                                     .upstream_count = 1,
                                     .upstreams = &upstream };
  struct catalog_profile profile = { .name = "chat",
                                     .service = "model",
                                     .deadline_ms = 1000000,
                                     .queue_limit = REQUESTS,
                                     .attempts_max = 1 };
  struct catalog_customer customer
      = { .name = "ana", .weight = 1, .waiting_max = REQUESTS };
  struct dispatch_config config = { .limits = { .waiting_max = REQUESTS },
                                    .placement = &placement_least_busy,
                                    .catalog = &catalog,
                                    .slots = &slots };
  struct slots_entry *entry;

  catalog_init (&catalog);
  slots_init (&slots);
  CU_ASSERT_EQUAL (catalog_put_service (&catalog, &service), 0);
  CU_ASSERT_EQUAL (catalog_put_profile (&catalog, &profile), 0);
  CU_ASSERT_EQUAL (catalog_put_customer (&catalog, &customer), 0);
  entry = slots_add (&slots, catalog_upstream_id ("model", upstream.address),
                     catalog_id ("model"));
  entry->capacity = SLOTS;
  entry->expiry_ns = UINT64_MAX;
  ledger = ledger_new ((struct ledger_origin){ 1, 1 });
  config.ledger = ledger;
  dispatch = dispatch_new (&config);
  started_count = 0;
}

static void
tear_down (void)
{
  dispatch_free (dispatch);
  ledger_free (ledger);
  slots_finish (&slots);
  catalog_finish (&catalog);
}

static void
add_requests (uint64_t now_ns)
{
  struct dispatch_event event = { .kind = DISPATCH_ARRIVED };

  event.u.arrival.customer_id = catalog_id ("ana");
  event.u.arrival.profile_id = catalog_id ("chat");
  for (event.request = 1; event.request <= REQUESTS; event.request++)
    handle (&event, now_ns);
}

static void
test_single_instance (void)
{
  set_up ();
  add_requests (0);
  CU_ASSERT_EQUAL (started_count, REQUESTS);
  tear_down ();
}

static void
test_fleet (void)
{
  const struct dispatch_event tick = { .kind = DISPATCH_TICK };
  struct dispatch_event disconnect = { .kind = DISPATCH_CLIENT_DISCONNECTED };
  uint32_t step;

  set_up ();
  dispatch_set_peer_demand (dispatch, empty_peer_demand, NULL);
  add_requests (0);
  CU_ASSERT_EQUAL (started_count, STEP_SLOTS);
  handle (&tick, STEP_NS - 1);
  CU_ASSERT_EQUAL (started_count, STEP_SLOTS);
  /* A slot freed by a running request is reused without waiting for the next
     step. */
  disconnect.request = last_started_request;
  handle (&disconnect, STEP_NS - 1);
  CU_ASSERT_EQUAL (started_count, STEP_SLOTS + 1);
  for (step = 1; step <= REQUESTS / STEP_SLOTS; step++)
    handle (&tick, step * STEP_NS);
  CU_ASSERT_EQUAL (started_count, REQUESTS);
  tear_down ();
}

static const struct suite_test tests[] = {
  { "a single instance fills all idle slots at once", test_single_instance },
  { "an instance of a fleet fills idle slots in steps", test_fleet },
};

SUITE_MAIN ("test_dispatch_fill", tests)

/**
 * @file test_matrix.c
 * Fault matrix of the request path and of leases: every upstream fault at
 * every step of an attempt, alone and together with a fault of the fleet, for
 * both kinds of service and for idempotent and other requests.  Each cell of
 * the matrix checks the invariants of the simulated fleet.  impossible() gives
 * the reason why a combination cannot occur.
 */
#include "support/fleetsim.h"
#include "support/suite.h"
#include <stdlib.h>
#include <string.h>

#define CELL_DEADLINE_MS 1500
#define CELL_RUN_MS      2500 /**< longer than any deadline of the cell */
#define CELL_LOAD        6 /**< background requests at each of two instances */
#define STEP_POLL_MS     1 /**< between checks for the step of the fault */

/** Faults of the fleet during the attempt. */
enum event
{
  EVENT_NONE,
  EVENT_CLIENT_DISCONNECTED,
  EVENT_LEASE_EXPIRED, /**< paused past its lease, then resumed */
  EVENT_PARTITION_ONE_WAY,
  EVENT_PARTITION_TWO_WAYS,
  EVENT_CRASH,
  EVENT_CRASH_AND_RESTART,
  EVENT_PEER_CRASH,
  EVENT_DRAIN,
  EVENT_FLOOD,
  EVENT_MAX
};

/** One combination of the matrix. */
struct cell
{
  enum attempt_step step;
  enum fleetsim_fault fault;
  enum event event;
  bool engine;
  bool idempotent;
  uint32_t uses; /**< attempts that the fault affects: 1 or all */
};

/** Number of cells by result, printed at the end. */
struct totals
{
  uint32_t run;
  uint32_t impossible;
  uint32_t failed;
};

static const char *impossible (const struct cell *cell);
static void run_cell (const struct cell *cell, struct totals *totals);
static void set_up_cell (struct fleetsim *sim, const struct cell *cell);
static void trigger_event (struct fleetsim *sim, enum event event,
                           uint32_t request);
static void run_cells (bool want_pairs, struct totals *totals);
static void test_single (void);
static void test_pairs (void);

static const char *const event_names[EVENT_MAX] = {
  [EVENT_NONE] = "none",
  [EVENT_CLIENT_DISCONNECTED] = "client-disconnected",
  [EVENT_LEASE_EXPIRED] = "lease-expired-while-paused",
  [EVENT_PARTITION_ONE_WAY] = "partition-one-way",
  [EVENT_PARTITION_TWO_WAYS] = "partition-two-ways",
  [EVENT_CRASH] = "crash",
  [EVENT_CRASH_AND_RESTART] = "crash-and-cold-restart",
  [EVENT_PEER_CRASH] = "peer-crash",
  [EVENT_DRAIN] = "drain",
  [EVENT_FLOOD] = "flood",
};

static const struct suite_test tests[] = {
  { "every single fault at every step", test_single },
  { "every upstream fault together with every fleet fault", test_pairs },
};

SUITE_MAIN ("test_matrix", tests)

static void
test_single (void)
{
  struct totals totals = { 0 };

  run_cells (false, &totals);
  printf ("cells run %u, impossible %u, failed %u\n", totals.run,
          totals.impossible, totals.failed);
  CU_ASSERT (totals.run > 0);
  CU_ASSERT (totals.failed == 0);
}

static void
test_pairs (void)
{
  struct totals totals = { 0 };

  run_cells (true, &totals);
  printf ("cells run %u, impossible %u, failed %u\n", totals.run,
          totals.impossible, totals.failed);
  CU_ASSERT (totals.run > 0);
  CU_ASSERT (totals.failed == 0);
}

static void
run_cells (bool want_pairs, struct totals *totals)
{
  struct cell cell;
  int step;
  int fault;
  int event;
  int variant;

  for (step = ATTEMPT_QUEUED; step < ATTEMPT_STEP_MAX; step++)
    for (fault = FLEETSIM_FAULT_NONE; fault < FLEETSIM_FAULT_MAX; fault++)
      for (event = EVENT_NONE; event < EVENT_MAX; event++)
        for (variant = 0; variant < 8; variant++)
          {
            bool is_pair = fault != FLEETSIM_FAULT_NONE && event != EVENT_NONE;

            if (is_pair != want_pairs)
              continue;
            cell.step = (enum attempt_step)step;
            cell.fault = (enum fleetsim_fault)fault;
            cell.event = (enum event)event;
            cell.engine = (variant & 1) != 0;
            cell.idempotent = (variant & 2) != 0;
            cell.uses = (variant & 4) != 0 ? UINT32_MAX : 1;
            if (impossible (&cell) != NULL)
              totals->impossible++;
            else
              run_cell (&cell, totals);
          }
}

static const char *
impossible (const struct cell *cell)
{
  bool at_upstream = cell->step >= ATTEMPT_CONNECTING;

  if (cell->fault != FLEETSIM_FAULT_NONE && !at_upstream)
    return "no upstream is involved before connecting";
  if (cell->fault == FLEETSIM_FAULT_REFUSED && cell->step != ATTEMPT_CONNECTING
      && at_upstream)
    return "a connection is refused only while connecting";
  if ((cell->fault == FLEETSIM_FAULT_WRONG_RESPONSE
       || cell->fault == FLEETSIM_FAULT_DRAINING)
      && cell->step != ATTEMPT_RESPONDING)
    return "only a response head can report this";
  if (cell->fault == FLEETSIM_FAULT_TRUNCATED
      && cell->step < ATTEMPT_RESPONDING)
    return "no response to truncate yet";
  return NULL;
}

static void
run_cell (const struct cell *cell, struct totals *totals)
{
  struct fleetsim *sim = malloc (sizeof *sim);
  uint32_t probe;
  int i;

  set_up_cell (sim, cell);
  fleetsim_run (sim, 2 * FLEETSIM_INTERVAL_MS);
  fleetsim_set_fault (sim, cell->step, cell->fault, cell->uses);
  probe = fleetsim_submit (sim, 0, "probe", "acme", "call");
  for (i = 0; i < CELL_LOAD; i++)
    {
      fleetsim_submit (sim, 0, "load0", "bolt", "call");
      fleetsim_submit (sim, 1, "load1", "acme", "call");
    }
  for (i = 0; i < 50 && sim->requests[probe].attempt.next < cell->step; i++)
    fleetsim_run (sim, STEP_POLL_MS);
  trigger_event (sim, cell->event, probe);
  fleetsim_run (sim, CELL_RUN_MS);
  totals->run++;
  if (!fleetsim_check_invariants (sim))
    {
      totals->failed++;
      printf ("FAILED step=%s fault=%s event=%s %s %s uses=%s: %s\n",
              attempt_step_name (cell->step),
              fleetsim_fault_name (cell->fault), event_names[cell->event],
              cell->engine ? "engine" : "plain",
              cell->idempotent ? "idempotent" : "not-idempotent",
              cell->uses == 1 ? "1" : "all", sim->violation);
    }
  fleetsim_finish (sim);
  free (sim);
}

static void
set_up_cell (struct fleetsim *sim, const struct cell *cell)
{
  fleetsim_init (sim, NULL);
  fleetsim_add_service (sim, "svc",
                        cell->engine ? CATALOG_ENGINE : CATALOG_PLAIN, 2, 2);
  fleetsim_add_customer (sim, "acme", 1, 1000);
  fleetsim_add_customer (sim, "bolt", 2, 1000);
  fleetsim_add_profile (sim, "call", "svc", CATALOG_DURABLE, cell->idempotent,
                        CELL_DEADLINE_MS, 3);
  fleetsim_add_profile (sim, "cheap", "svc", CATALOG_DISPOSABLE, true,
                        CELL_DEADLINE_MS, 1);
  fleetsim_start (sim, "r1");
  fleetsim_start (sim, "r2");
  fleetsim_start (sim, "r3");
}

static void
trigger_event (struct fleetsim *sim, enum event event, uint32_t request)
{
  int i;

  switch (event)
    {
    case EVENT_CLIENT_DISCONNECTED:
      fleetsim_disconnect_client (sim, request);
      break;
    case EVENT_LEASE_EXPIRED:
      fleetsim_set_paused (sim, 0, true);
      fleetsim_run (sim, 3 * FLEETSIM_LEASE_MS);
      fleetsim_set_paused (sim, 0, false);
      break;
    case EVENT_PARTITION_ONE_WAY:
    case EVENT_PARTITION_TWO_WAYS:
      for (i = 1; i < 3; i++)
        {
          fleetsim_set_link_cut (sim, 0, i, true);
          fleetsim_set_link_cut (sim, i, 0, event == EVENT_PARTITION_TWO_WAYS);
        }
      fleetsim_run (sim, 3 * FLEETSIM_LEASE_MS);
      for (i = 1; i < 3; i++)
        {
          fleetsim_set_link_cut (sim, 0, i, false);
          fleetsim_set_link_cut (sim, i, 0, false);
        }
      break;
    case EVENT_CRASH:
    case EVENT_CRASH_AND_RESTART:
      fleetsim_crash (sim, 0);
      if (event == EVENT_CRASH_AND_RESTART)
        fleetsim_start (sim, "r1");
      break;
    case EVENT_PEER_CRASH:
      fleetsim_crash (sim, 1);
      fleetsim_start (sim, "r2");
      break;
    case EVENT_DRAIN:
      fleetsim_drain (sim, 0);
      break;
    case EVENT_FLOOD:
      for (i = 0; i < 500; i++)
        fleetsim_submit (sim, 0, "flood", "bolt", "cheap");
      break;
    default:
      break;
    }
}

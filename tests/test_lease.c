/**
 * @file test_lease.c
 * One lessor and one lessee, message by message: how long a lease lasts, and
 * what late, repeated and reordered messages do.  Whole fleets are in
 * tests/test_fairness.c.
 */
#include "coordination/lessee.h"
#include "coordination/lessor.h"
#include "state/err.h"
#include "support/suite.h"
#include <string.h>

#define MS       UINT64_C (1000000) /* nanoseconds */
#define LEASE_MS 1000
#define GRACE_MS 200
#define INTERVAL 100 /* milliseconds */
#define SLOTS    8
#define KEPT_MAX 32 /* messages kept */

/* Messages of one side, kept until the test delivers them. */
struct mailbox
{
  struct message messages[KEPT_MAX];
  struct message_grant_item items[KEPT_MAX];
  struct message_hold_item holds[KEPT_MAX];
  size_t count;
};

struct pair
{
  struct catalog catalog;
  struct catalog_upstream upstream;
  struct member_table members; /* as both see them; the lessor is `self` */
  struct ledger *ledger;
  struct slots slots;
  struct lessor *lessor;
  struct lessee *lessee;
  struct mailbox grants;
  struct mailbox holds;
  struct message_link to_lessee;
  struct message_link to_lessor;
  uint64_t lessor_id;
  uint64_t lessee_id;
  uint64_t self_sequence; /* of the newest grant of the lessor to itself */
};

static int keep_grant (void *user, uint64_t instance_id,
                       const struct message *message);
static int keep (void *user, uint64_t instance_id,
                 const struct message *message);
static void setup (struct pair *pair);
static void finish (struct pair *pair);
static void heartbeat (struct pair *pair, uint64_t sequence, uint64_t now_ms);
static void deliver_grants (struct pair *pair, uint64_t now_ms);
static void deliver_holds (struct pair *pair, uint64_t now_ms);
static void settle (struct pair *pair, uint64_t now_ms);
static struct slots_entry *entry_of (struct pair *pair);

static int
keep (void *user, uint64_t instance_id, const struct message *message)
{
  struct mailbox *box = user;
  struct message *copy;

  (void)instance_id;
  CU_ASSERT_FATAL (box->count < KEPT_MAX);
  copy = &box->messages[box->count];
  *copy = *message;
  if (message->kind == MESSAGE_GRANT && message->u.grant.item_count > 0)
    {
      box->items[box->count] = message->u.grant.items[0];
      copy->u.grant.items = &box->items[box->count];
      copy->u.grant.item_count = 1;
    }
  if (message->kind == MESSAGE_HOLD && message->u.hold.item_count > 0)
    {
      box->holds[box->count] = message->u.hold.items[0];
      copy->u.hold.items = &box->holds[box->count];
    }
  box->count++;
  return 0;
}

/* The lessor holds no slots itself, and says so. */
static int
keep_grant (void *user, uint64_t instance_id, const struct message *message)
{
  struct pair *pair = user;

  if (instance_id != pair->lessor_id)
    return keep (&pair->grants, instance_id, message);
  if (message->u.grant.item_count > 0)
    pair->self_sequence = message->u.grant.items[0].sequence;
  return 0;
}

static void
setup (struct pair *pair)
{
  struct catalog_service service = { .name = "engine", .upstream_count = 1 };
  struct message_hello hello = { .instance = "lessee", .incarnation = 1 };
  struct member self = { .instance = "lessor",
                         .incarnation = 1,
                         .status = MEMBER_ALIVE,
                         .state = MESSAGE_LIVE };
  struct lessor_config config = { .lease_ms = LEASE_MS,
                                  .grace_ms = GRACE_MS,
                                  .catalog = &pair->catalog,
                                  .members = &pair->members };

  memset (pair, 0, sizeof *pair);
  catalog_init (&pair->catalog);
  strcpy (pair->upstream.address, "127.0.0.1:1");
  pair->upstream.slots = SLOTS;
  service.upstreams = &pair->upstream;
  catalog_put_service (&pair->catalog, &service);
  pair->lessor_id = catalog_id ("lessor");
  pair->lessee_id = catalog_id ("lessee");
  self.instance_id = pair->lessor_id;
  member_init (&pair->members, &self, INTERVAL);
  member_hello (&pair->members, &hello, MS);
  pair->ledger
      = ledger_new ((struct ledger_origin){ .instance_id = pair->lessor_id });
  config.ledger = pair->ledger;
  slots_init (&pair->slots);
  pair->lessor = lessor_new (&config);
  pair->lessee = lessee_new (&pair->slots, &pair->catalog, &pair->members);
  pair->to_lessee = (struct message_link){ keep_grant, pair };
  pair->to_lessor = (struct message_link){ keep, &pair->holds };
}

static void
finish (struct pair *pair)
{
  lessor_free (pair->lessor);
  lessee_free (pair->lessee);
  slots_finish (&pair->slots);
  ledger_free (pair->ledger);
  member_finish (&pair->members);
  catalog_finish (&pair->catalog);
}

static void
heartbeat (struct pair *pair, uint64_t sequence, uint64_t now_ms)
{
  /* Draining, so that the other one is the lessor; its waiting requests get
     it slots all the same. */
  struct message_demand demand = { 1, catalog_id ("engine"), SLOTS * 2, 0 };
  struct message_heartbeat beat = { .sequence = sequence,
                                    .state = MESSAGE_DRAINING,
                                    .full = true,
                                    .demand_count = 1,
                                    .demands = &demand };

  lessee_heartbeat (pair->lessee, sequence, now_ms * MS);
  member_heartbeat (&pair->members, pair->lessee_id, &beat, now_ms * MS);
  lessor_demand (pair->lessor, pair->lessee_id, &beat);
}

static void
deliver_grants (struct pair *pair, uint64_t now_ms)
{
  size_t i;

  for (i = 0; i < pair->grants.count; i++)
    lessee_grant (pair->lessee, pair->lessor_id,
                  &pair->grants.messages[i].u.grant, now_ms * MS);
  pair->grants.count = 0;
  lessee_run (pair->lessee, now_ms * MS, &pair->to_lessor);
}

static void
deliver_holds (struct pair *pair, uint64_t now_ms)
{
  struct message_hold_item none
      = { .upstream_id = catalog_upstream_id ("engine", "127.0.0.1:1"),
          .sequence = pair->self_sequence };
  struct message_hold own = { 1, 1, &none };
  size_t i;

  lessor_hold (pair->lessor, pair->lessor_id, &own, now_ms * MS);
  for (i = 0; i < pair->holds.count; i++)
    lessor_hold (pair->lessor, pair->lessee_id,
                 &pair->holds.messages[i].u.hold, now_ms * MS);
  pair->holds.count = 0;
}

static void
settle (struct pair *pair, uint64_t now_ms)
{
  int round;

  for (round = 0; round < 4; round++)
    {
      lessor_run (pair->lessor, now_ms * MS, true, &pair->to_lessee);
      deliver_grants (pair, now_ms);
      deliver_holds (pair, now_ms);
    }
}

static struct slots_entry *
entry_of (struct pair *pair)
{
  return slots_find (&pair->slots,
                     catalog_upstream_id ("engine", "127.0.0.1:1"));
}

static void
test_lease_ends_by_both_clocks (void)
{
  static struct pair pair;
  uint64_t id = catalog_upstream_id ("engine", "127.0.0.1:1");

  setup (&pair);
  heartbeat (&pair, 1, 10);
  settle (&pair, 10);
  settle (&pair, 10 + LEASE_MS + GRACE_MS);
  heartbeat (&pair, 2, 2000);
  settle (&pair, 2000);
  CU_ASSERT_EQUAL (entry_of (&pair)->capacity, SLOTS);
  CU_ASSERT_EQUAL (slots_free (entry_of (&pair), (2000 + LEASE_MS) * MS - 1),
                   SLOTS);
  CU_ASSERT_EQUAL (slots_free (entry_of (&pair), (2000 + LEASE_MS) * MS), 0);
  CU_ASSERT_EQUAL (lessor_reserved (pair.lessor, id), SLOTS);
  lessor_run (pair.lessor, (2000 + LEASE_MS + GRACE_MS - 1) * MS, false,
              &pair.to_lessee);
  CU_ASSERT_EQUAL (lessor_reserved (pair.lessor, id), SLOTS);
  lessor_run (pair.lessor, (2000 + LEASE_MS + GRACE_MS) * MS, false,
              &pair.to_lessee);
  CU_ASSERT_EQUAL (lessor_reserved (pair.lessor, id), 0);
  finish (&pair);
}

/* A grant that lay in a buffer gives no time, and a renewal brings back no
   lease that has run out. */
static void
test_late_grant_gives_no_time (void)
{
  static struct pair pair;
  struct message_grant renewal = { 1, LEASE_MS, 0, NULL, 2 };

  setup (&pair);
  heartbeat (&pair, 1, 10);
  settle (&pair, 10);
  settle (&pair, 10 + LEASE_MS + GRACE_MS);
  heartbeat (&pair, 2, 2000);
  settle (&pair, 2000);
  CU_ASSERT_EQUAL (lessee_grant (pair.lessee, pair.lessor_id, &renewal,
                                 (2000 + LEASE_MS) * MS),
                   ERR_STALE);
  CU_ASSERT_EQUAL (slots_free (entry_of (&pair), (2000 + LEASE_MS) * MS), 0);
  lessee_heartbeat (pair.lessee, 3, (2000 + LEASE_MS) * MS);
  renewal.heartbeat_sequence = 3;
  lessee_grant (pair.lessee, pair.lessor_id, &renewal,
                (2000 + LEASE_MS + 1) * MS);
  CU_ASSERT_EQUAL (slots_free (entry_of (&pair), (2000 + LEASE_MS + 1) * MS),
                   0);
  renewal.lessor_incarnation = 0;
  CU_ASSERT_EQUAL (lessee_grant (pair.lessee, pair.lessor_id, &renewal,
                                 (2000 + LEASE_MS + 1) * MS),
                   ERR_STALE);
  finish (&pair);
}

/* A smaller grant counts at its old size until it is confirmed, and requests
   in flight keep their slots. */
static void
test_shrink_counts_until_confirmed (void)
{
  static struct pair pair;
  uint64_t id = catalog_upstream_id ("engine", "127.0.0.1:1");
  struct catalog_service service = { .name = "engine", .upstream_count = 1 };
  uint32_t i;

  setup (&pair);
  heartbeat (&pair, 1, 10);
  settle (&pair, 10);
  settle (&pair, 10 + LEASE_MS + GRACE_MS);
  heartbeat (&pair, 2, 2000);
  settle (&pair, 2000);
  for (i = 0; i < SLOTS; i++)
    CU_ASSERT_EQUAL (slots_acquire (&pair.slots, id, 2000 * MS), 0);
  pair.upstream.slots = SLOTS / 2;
  service.upstreams = &pair.upstream;
  catalog_put_service (&pair.catalog, &service);
  lessor_run (pair.lessor, 2001 * MS, true, &pair.to_lessee);
  CU_ASSERT_EQUAL (lessor_reserved (pair.lessor, id), SLOTS);
  deliver_grants (&pair, 2002);
  deliver_holds (&pair, 2003);
  CU_ASSERT_EQUAL (lessor_reserved (pair.lessor, id), SLOTS);
  CU_ASSERT_EQUAL (slots_release (&pair.slots, id), 0);
  CU_ASSERT_EQUAL (slots_acquire (&pair.slots, id, 2004 * MS), ERR_FULL);
  lessee_run (pair.lessee, 2004 * MS, &pair.to_lessor);
  deliver_holds (&pair, 2005);
  CU_ASSERT_EQUAL (lessor_reserved (pair.lessor, id), SLOTS - 1);
  finish (&pair);
}

static const struct suite_test tests[] = {
  { "a lease ends by both clocks", test_lease_ends_by_both_clocks },
  { "a late grant gives no time", test_late_grant_gives_no_time },
  { "a shrink counts until confirmed", test_shrink_counts_until_confirmed },
};

SUITE_MAIN ("test_lease", tests)

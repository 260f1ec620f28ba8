/**
 * @file test_lease.c
 * One lessor and one lessee, message by message: when a lease expires, and how
 * delayed and outdated messages are handled.  tests/test_fairness.c covers
 * whole fleets.
 */
#include "coordination/lessee.h"
#include "coordination/lessor.h"
#include "state/err.h"
#include "support/suite.h"
#include <string.h>

#define NS_PER_MS   UINT64_C (1000000)
#define LEASE_MS    1000
#define GRACE_MS    200
#define INTERVAL_MS 100
#define SLOTS       8
#define MAILBOX_MAX 32 /* messages */

/* Messages that one side sent, kept until the test delivers them. */
struct mailbox
{
  struct message messages[MAILBOX_MAX];
  struct message_grant_item grant_items[MAILBOX_MAX];
  struct message_hold_item hold_items[MAILBOX_MAX];
  size_t count;
};

struct fixture
{
  struct catalog catalog;
  struct catalog_upstream upstream;
  struct member_table members; /* shared; the lessor is `self` */
  struct ledger *ledger;
  struct slots slots;
  struct lessor *lessor;
  struct lessee *lessee;
  struct mailbox grants;
  struct mailbox holds;
  struct message_sender to_lessee;
  struct message_sender to_lessor;
  uint64_t lessor_id;
  uint64_t lessee_id;
  uint64_t self_sequence; /* of the lessor's newest grant to itself */
};

static int record_grant (void *user, uint64_t instance_id,
                         const struct message *message);
static int record_message (void *user, uint64_t instance_id,
                           const struct message *message);
static void set_up (struct fixture *fixture);
static void tear_down (struct fixture *fixture);
static void send_heartbeat (struct fixture *fixture, uint64_t sequence,
                            uint64_t now_ms);
static void deliver_grants (struct fixture *fixture, uint64_t now_ms);
static void deliver_holds (struct fixture *fixture, uint64_t now_ms);
static void exchange_messages (struct fixture *fixture, uint64_t now_ms);
static struct slots_entry *find_entry (struct fixture *fixture);

static int
record_message (void *user, uint64_t instance_id,
                const struct message *message)
{
  struct mailbox *box = user;
  struct message *copy;

  (void)instance_id;
  CU_ASSERT_FATAL (box->count < MAILBOX_MAX);
  copy = &box->messages[box->count];
  *copy = *message;
  if (message->kind == MESSAGE_GRANT && message->u.grant.item_count > 0)
    {
      box->grant_items[box->count] = message->u.grant.items[0];
      copy->u.grant.items = &box->grant_items[box->count];
      copy->u.grant.item_count = 1;
    }
  if (message->kind == MESSAGE_HOLD && message->u.hold.item_count > 0)
    {
      box->hold_items[box->count] = message->u.hold.items[0];
      copy->u.hold.items = &box->hold_items[box->count];
    }
  box->count++;
  return 0;
}

/* Of a grant that the lessor sends to itself only the sequence is kept: the
   lessor holds no slots, and deliver_holds reports that. */
static int
record_grant (void *user, uint64_t instance_id, const struct message *message)
{
  struct fixture *fixture = user;

  if (instance_id != fixture->lessor_id)
    return record_message (&fixture->grants, instance_id, message);
  if (message->u.grant.item_count > 0)
    fixture->self_sequence = message->u.grant.items[0].sequence;
  return 0;
}

static void
set_up (struct fixture *fixture)
{
  struct catalog_service service = { .name = "engine", .upstream_count = 1 };
  struct message_hello hello = { .instance = "lessee", .incarnation = 1 };
  struct member self = { .instance = "lessor",
                         .incarnation = 1,
                         .status = MEMBER_ALIVE,
                         .state = MESSAGE_INSTANCE_LIVE };
  struct lessor_config config = { .lease_ms = LEASE_MS,
                                  .grace_ms = GRACE_MS,
                                  .catalog = &fixture->catalog,
                                  .members = &fixture->members };

  memset (fixture, 0, sizeof *fixture);
  catalog_init (&fixture->catalog);
  strcpy (fixture->upstream.address, "127.0.0.1:1");
  fixture->upstream.slots = SLOTS;
  service.upstreams = &fixture->upstream;
  catalog_put_service (&fixture->catalog, &service);
  fixture->lessor_id = catalog_id ("lessor");
  fixture->lessee_id = catalog_id ("lessee");
  self.instance_id = fixture->lessor_id;
  member_init (&fixture->members, &self, INTERVAL_MS);
  member_receive_hello (&fixture->members, &hello, NS_PER_MS);
  fixture->ledger = ledger_new (
      (struct ledger_origin){ .instance_id = fixture->lessor_id });
  config.ledger = fixture->ledger;
  slots_init (&fixture->slots);
  fixture->lessor = lessor_new (&config);
  fixture->lessee
      = lessee_new (&fixture->slots, &fixture->catalog, &fixture->members);
  fixture->to_lessee = (struct message_sender){ record_grant, fixture };
  fixture->to_lessor
      = (struct message_sender){ record_message, &fixture->holds };
}

static void
tear_down (struct fixture *fixture)
{
  lessor_free (fixture->lessor);
  lessee_free (fixture->lessee);
  slots_finish (&fixture->slots);
  ledger_free (fixture->ledger);
  member_finish (&fixture->members);
  catalog_finish (&fixture->catalog);
}

static void
send_heartbeat (struct fixture *fixture, uint64_t sequence, uint64_t now_ms)
{
  /* The lessee is draining, so that the other instance is the lessor.  The
     lessee is still granted slots for its waiting requests. */
  struct message_demand demand = { 1, catalog_id ("engine"), SLOTS * 2, 0 };
  struct message_heartbeat beat = { .sequence = sequence,
                                    .state = MESSAGE_INSTANCE_DRAINING,
                                    .full = true,
                                    .demand_count = 1,
                                    .demands = &demand };

  lessee_heartbeat_sent (fixture->lessee, sequence, now_ms * NS_PER_MS);
  member_receive_heartbeat (&fixture->members, fixture->lessee_id, &beat,
                            now_ms * NS_PER_MS);
  lessor_receive_heartbeat (fixture->lessor, fixture->lessee_id, &beat);
}

static void
deliver_grants (struct fixture *fixture, uint64_t now_ms)
{
  size_t i;

  for (i = 0; i < fixture->grants.count; i++)
    lessee_receive_grant (fixture->lessee, fixture->lessor_id,
                          &fixture->grants.messages[i].u.grant,
                          now_ms * NS_PER_MS);
  fixture->grants.count = 0;
  lessee_run (fixture->lessee, now_ms * NS_PER_MS, &fixture->to_lessor);
}

static void
deliver_holds (struct fixture *fixture, uint64_t now_ms)
{
  struct message_hold_item none
      = { .upstream_id = catalog_upstream_id ("engine", "127.0.0.1:1"),
          .sequence = fixture->self_sequence };
  struct message_hold own = { 1, 1, &none };
  size_t i;

  lessor_receive_hold (fixture->lessor, fixture->lessor_id, &own,
                       now_ms * NS_PER_MS);
  for (i = 0; i < fixture->holds.count; i++)
    lessor_receive_hold (fixture->lessor, fixture->lessee_id,
                         &fixture->holds.messages[i].u.hold,
                         now_ms * NS_PER_MS);
  fixture->holds.count = 0;
}

static void
exchange_messages (struct fixture *fixture, uint64_t now_ms)
{
  int round;

  for (round = 0; round < 4; round++)
    {
      lessor_run (fixture->lessor, now_ms * NS_PER_MS, true,
                  &fixture->to_lessee);
      deliver_grants (fixture, now_ms);
      deliver_holds (fixture, now_ms);
    }
}

static struct slots_entry *
find_entry (struct fixture *fixture)
{
  return slots_find (&fixture->slots,
                     catalog_upstream_id ("engine", "127.0.0.1:1"));
}

/* The lessee stops using a lease LEASE_MS after its heartbeat, by its own
   clock; the lessor frees the slots only GRACE_MS later, by its clock. */
static void
test_lease_expires_by_both_clocks (void)
{
  static struct fixture fixture;
  uint64_t id = catalog_upstream_id ("engine", "127.0.0.1:1");

  set_up (&fixture);
  send_heartbeat (&fixture, 1, 10);
  exchange_messages (&fixture, 10);
  exchange_messages (&fixture, 10 + LEASE_MS + GRACE_MS);
  send_heartbeat (&fixture, 2, 2000);
  exchange_messages (&fixture, 2000);
  CU_ASSERT_EQUAL (find_entry (&fixture)->capacity, SLOTS);
  CU_ASSERT_EQUAL (
      slots_free (find_entry (&fixture), (2000 + LEASE_MS) * NS_PER_MS - 1),
      SLOTS);
  CU_ASSERT_EQUAL (
      slots_free (find_entry (&fixture), (2000 + LEASE_MS) * NS_PER_MS), 0);
  CU_ASSERT_EQUAL (lessor_reserved (fixture.lessor, id), SLOTS);
  lessor_run (fixture.lessor, (2000 + LEASE_MS + GRACE_MS - 1) * NS_PER_MS,
              false, &fixture.to_lessee);
  CU_ASSERT_EQUAL (lessor_reserved (fixture.lessor, id), SLOTS);
  lessor_run (fixture.lessor, (2000 + LEASE_MS + GRACE_MS) * NS_PER_MS, false,
              &fixture.to_lessee);
  CU_ASSERT_EQUAL (lessor_reserved (fixture.lessor, id), 0);
  tear_down (&fixture);
}

/* A grant that was delayed in a buffer does not extend the lease, and a
   renewal does not revive a lease that has expired. */
static void
test_delayed_grant_does_not_extend_lease (void)
{
  static struct fixture fixture;
  struct message_grant renewal = { 1, LEASE_MS, 0, NULL, 2 };

  set_up (&fixture);
  send_heartbeat (&fixture, 1, 10);
  exchange_messages (&fixture, 10);
  exchange_messages (&fixture, 10 + LEASE_MS + GRACE_MS);
  send_heartbeat (&fixture, 2, 2000);
  exchange_messages (&fixture, 2000);
  CU_ASSERT_EQUAL (lessee_receive_grant (fixture.lessee, fixture.lessor_id,
                                         &renewal,
                                         (2000 + LEASE_MS) * NS_PER_MS),
                   ERR_STALE);
  CU_ASSERT_EQUAL (
      slots_free (find_entry (&fixture), (2000 + LEASE_MS) * NS_PER_MS), 0);
  lessee_heartbeat_sent (fixture.lessee, 3, (2000 + LEASE_MS) * NS_PER_MS);
  renewal.heartbeat_sequence = 3;
  lessee_receive_grant (fixture.lessee, fixture.lessor_id, &renewal,
                        (2000 + LEASE_MS + 1) * NS_PER_MS);
  CU_ASSERT_EQUAL (
      slots_free (find_entry (&fixture), (2000 + LEASE_MS + 1) * NS_PER_MS),
      0);
  renewal.lessor_incarnation = 0;
  CU_ASSERT_EQUAL (lessee_receive_grant (fixture.lessee, fixture.lessor_id,
                                         &renewal,
                                         (2000 + LEASE_MS + 1) * NS_PER_MS),
                   ERR_STALE);
  tear_down (&fixture);
}

/* A reduced grant counts at its old size until the lessee confirms the new
   one, and requests in flight keep their slots. */
static void
test_reduced_grant_counts_until_confirmed (void)
{
  static struct fixture fixture;
  uint64_t id = catalog_upstream_id ("engine", "127.0.0.1:1");
  struct catalog_service service = { .name = "engine", .upstream_count = 1 };
  uint32_t i;

  set_up (&fixture);
  send_heartbeat (&fixture, 1, 10);
  exchange_messages (&fixture, 10);
  exchange_messages (&fixture, 10 + LEASE_MS + GRACE_MS);
  send_heartbeat (&fixture, 2, 2000);
  exchange_messages (&fixture, 2000);
  for (i = 0; i < SLOTS; i++)
    CU_ASSERT_EQUAL (slots_acquire (&fixture.slots, id, 2000 * NS_PER_MS), 0);
  fixture.upstream.slots = SLOTS / 2;
  service.upstreams = &fixture.upstream;
  catalog_put_service (&fixture.catalog, &service);
  lessor_run (fixture.lessor, 2001 * NS_PER_MS, true, &fixture.to_lessee);
  CU_ASSERT_EQUAL (lessor_reserved (fixture.lessor, id), SLOTS);
  deliver_grants (&fixture, 2002);
  deliver_holds (&fixture, 2003);
  CU_ASSERT_EQUAL (lessor_reserved (fixture.lessor, id), SLOTS);
  CU_ASSERT_EQUAL (slots_release (&fixture.slots, id), 0);
  CU_ASSERT_EQUAL (slots_acquire (&fixture.slots, id, 2004 * NS_PER_MS),
                   ERR_FULL);
  lessee_run (fixture.lessee, 2004 * NS_PER_MS, &fixture.to_lessor);
  deliver_holds (&fixture, 2005);
  CU_ASSERT_EQUAL (lessor_reserved (fixture.lessor, id), SLOTS - 1);
  tear_down (&fixture);
}

static const struct suite_test tests[] = {
  { "a lease expires by both clocks", test_lease_expires_by_both_clocks },
  { "a delayed grant does not extend the lease",
    test_delayed_grant_does_not_extend_lease },
  { "a reduced grant counts in full until confirmed",
    test_reduced_grant_counts_until_confirmed },
};

SUITE_MAIN ("test_lease", tests)

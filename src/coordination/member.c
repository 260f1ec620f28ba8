/**
 * @file member.c
 * Membership by heartbeat, and the choice of an upstream's lessor.
 */
#include "coordination/member.h"
#include "state/err.h"
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define NS_PER_MS 1000000ULL

static struct member *find (const struct member_table *table, uint64_t id);
static struct member *add (struct member_table *table, uint64_t id);
static bool may_be_lessor (const struct member *member);
static enum member_status status_at (const struct member_table *table,
                                     const struct member *member,
                                     uint64_t now_ns);
static uint64_t rendezvous_score (uint64_t instance_id, uint64_t upstream_id);

int
member_init (struct member_table *table, const struct member *self,
             uint32_t interval_ms)
{
  struct member *member;

  memset (table, 0, sizeof *table);
  table->interval_ms = interval_ms;
  table->self_id = self->instance_id;
  member = add (table, self->instance_id);
  if (member == NULL)
    return ERR_NO_MEMORY;
  memcpy (member->instance, self->instance, sizeof member->instance);
  memcpy (member->availability_zone, self->availability_zone,
          sizeof member->availability_zone);
  memcpy (member->address, self->address, sizeof member->address);
  member->incarnation = self->incarnation;
  member->state = self->state;
  member->status = MEMBER_ALIVE;
  member->config_index = self->config_index;
  return 0;
}

void
member_finish (struct member_table *table)
{
  struct member *member = table->members;
  struct member *next;

  HASH_CLEAR (hh, table->members);
  for (; member != NULL; member = next)
    {
      next = member->hh.next;
      free (member);
    }
}

int
member_receive_hello (struct member_table *table,
                      const struct message_hello *hello, uint64_t now_ns)
{
  uint64_t id = catalog_id (hello->instance);
  struct member *member = find (table, id);

  if (id == table->self_id)
    return ERR_EXISTS;
  /* A restarted instance whose wall clock was set back announces a lower
     incarnation.  It is accepted once its previous incarnation is
     MEMBER_GONE. */
  if (member != NULL && hello->incarnation < member->incarnation
      && member->status != MEMBER_GONE)
    return ERR_STALE;
  if (member == NULL)
    member = add (table, id);
  if (member == NULL)
    return ERR_NO_MEMORY;
  if (member->incarnation != hello->incarnation)
    {
      member->state = MESSAGE_INSTANCE_STARTING;
      member->config_index = 0;
    }
  member->incarnation = hello->incarnation;
  member->link_down = false;
  memcpy (member->instance, hello->instance, sizeof member->instance);
  memcpy (member->availability_zone, hello->availability_zone,
          sizeof member->availability_zone);
  memcpy (member->address, hello->address, sizeof member->address);
  member->status = MEMBER_ALIVE;
  member->last_heard_ns = now_ns;
  table->generation++;
  return 0;
}

int
member_receive_heartbeat (struct member_table *table, uint64_t instance_id,
                          const struct message_heartbeat *heartbeat,
                          uint64_t now_ns)
{
  struct member *member = find (table, instance_id);
  bool was_candidate;

  if (member == NULL)
    return ERR_NOT_FOUND;
  was_candidate = may_be_lessor (member);
  member->status = MEMBER_ALIVE;
  member->state = heartbeat->state;
  if (heartbeat->config_index > member->config_index)
    member->config_index = heartbeat->config_index;
  if (now_ns > member->last_heard_ns)
    member->last_heard_ns = now_ns;
  if (may_be_lessor (member) != was_candidate)
    table->generation++;
  return 0;
}

bool
member_update_status (struct member_table *table, uint64_t instance_id,
                      uint64_t now_ns)
{
  struct member *member = find (table, instance_id);
  enum member_status status;
  bool was_candidate;

  if (member == NULL || instance_id == table->self_id)
    return false;
  status = status_at (table, member, now_ns);
  if (status <= member->status)
    return false;
  was_candidate = may_be_lessor (member);
  member->status = status;
  if (may_be_lessor (member) != was_candidate)
    table->generation++;
  return true;
}

bool
member_update_all (struct member_table *table, uint64_t now_ns)
{
  const struct member *member;
  bool changed = false;

  for (member = table->members; member != NULL; member = member->hh.next)
    changed
        = member_update_status (table, member->instance_id, now_ns) || changed;
  return changed;
}

void
member_set_state (struct member_table *table,
                  enum message_instance_state state)
{
  struct member *self = find (table, table->self_id);

  if (self->state == state)
    return;
  self->state = state;
  table->generation++;
}

void
member_remove (struct member_table *table, uint64_t instance_id)
{
  struct member *member = find (table, instance_id);

  if (member == NULL || instance_id == table->self_id)
    return;
  HASH_DEL (table->members, member);
  free (member);
  table->generation++;
}

void
member_link_down (struct member_table *table, uint64_t instance_id)
{
  struct member *member = find (table, instance_id);

  if (member != NULL)
    member->link_down = true;
}

const struct member *
member_find (const struct member_table *table, uint64_t instance_id)
{
  return find (table, instance_id);
}

uint64_t
member_lessor (const struct member_table *table, uint64_t upstream_id)
{
  const struct member *member;
  uint64_t best_score = 0;
  uint64_t best = 0;
  uint64_t candidate_score;

  for (member = table->members; member != NULL; member = member->hh.next)
    {
      if (!may_be_lessor (member))
        continue;
      candidate_score = rendezvous_score (member->instance_id, upstream_id);
      if (best != 0 && candidate_score <= best_score)
        continue;
      best = member->instance_id;
      best_score = candidate_score;
    }
  /* Without candidates, such as when the last instance drains, this instance
     is the lessor: its requests in flight still complete on leased slots. */
  return best != 0 ? best : table->self_id;
}

static struct member *
find (const struct member_table *table, uint64_t id)
{
  struct member *member;

  HASH_FIND (hh, table->members, &id, sizeof id, member);
  return member;
}

static struct member *
add (struct member_table *table, uint64_t id)
{
  struct member *member = calloc (1, sizeof *member);

  if (member == NULL)
    return NULL;
  member->instance_id = id;
  HASH_ADD (hh, table->members, instance_id, sizeof member->instance_id,
            member);
  return member;
}

/** Whether a member is a candidate for lessor. */
static bool
may_be_lessor (const struct member *member)
{
  return member->status != MEMBER_GONE
         && member->state == MESSAGE_INSTANCE_LIVE;
}

static enum member_status
status_at (const struct member_table *table, const struct member *member,
           uint64_t now_ns)
{
  uint64_t interval_ns = table->interval_ms * NS_PER_MS;
  uint64_t silent_ns
      = now_ns > member->last_heard_ns ? now_ns - member->last_heard_ns : 0;

  if (silent_ns > MEMBER_GONE_INTERVALS * interval_ns)
    return MEMBER_GONE;
  if (silent_ns > MEMBER_SUSPECT_INTERVALS * interval_ns)
    return member->link_down ? MEMBER_GONE : MEMBER_SUSPECT;
  return MEMBER_ALIVE;
}

/** Score of a member in rendezvous hashing.  Ties are broken by the order of
    the table; the probability of a tie is 2^-64. */
static uint64_t
rendezvous_score (uint64_t instance_id, uint64_t upstream_id)
{
  const uint64_t pair[2] = { instance_id, upstream_id };

  return XXH3_64bits (pair, sizeof pair);
}

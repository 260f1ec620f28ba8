/**
 * @file neighbours_members.c
 * Membership: an entry in the store that lives by a lease tells others where
 * to dial.  Who is alive only links say.
 */
#include "gateway/neighbours_int.h"
#include "state/err.h"
#include "transport/log.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WATCH_MS 20000 /* members change rarely */
#define PACE_MS  1000  /* between reads of members */
#define LEASE_MS 9000  /* an instance that died is forgotten after */
#define KEEP_MS  3000  /* a third of the lease */
#define RETRY_MS 1000  /* after a call for membership failed */
/* When the whole fleet starts for the first time, all have entered by then. */
#define SETTLE_MS 1500

static void on_item (void *user, const struct platform_item *item);
static void on_listing (void *user);
static void on_listed (void *user, uint64_t index);
static void on_failed (void *user, int error);
static void on_recovered (void *user, uint64_t outage_ns);
static void on_membership (evutil_socket_t fd, short what, void *arg);
static void on_granted (void *user, int error, uint64_t lease);
static void on_written (void *user, int error, uint64_t index);
static void on_kept (void *user, int error, uint64_t index);
static void schedule (struct neighbours *neighbours, uint32_t delay_ms);
static void gone (struct neighbours *neighbours, struct member_entry *entry);
static int there (struct neighbours *neighbours,
                  const struct platform_item *item);
static void offer (struct neighbours *neighbours, struct member_entry *entry,
                   bool wanted);

static const struct feed_events feed_events = {
  .listing_begin = on_listing,
  .listing_end = on_listed,
  .item = on_item,
  .failed = on_failed,
  .recovered = on_recovered,
};

int
neighbours_members_start (struct neighbours *neighbours)
{
  struct gateway *gateway = neighbours->gateway;
  const struct feed_config feed = {
    .base = gateway->base,
    .clock = &gateway->clock,
    .platform = gateway->platform,
    .prefix = gateway->adapter->own_prefix,
    .pace_ms = PACE_MS,
    .wait_ms = WATCH_MS,
    .delay_ms = gateway->settings.bootstrap ? SETTLE_MS : 0,
    .seed = neighbours->self_id + 1,
    .events = &feed_events,
    .user = neighbours,
  };

  snprintf (neighbours->key, sizeof neighbours->key, "%s%s",
            gateway->adapter->own_prefix, gateway->settings.instance);
  neighbours->membership_timer
      = event_new (gateway->base, -1, 0, on_membership, neighbours);
  if (neighbours->membership_timer == NULL)
    return ERR_NO_MEMORY;
  schedule (neighbours, 0);
  return feed_init (&neighbours->feed, &feed);
}

void
neighbours_members_finish (struct neighbours *neighbours)
{
  struct member_entry *entry = neighbours->members;
  struct member_entry *next;

  feed_finish (&neighbours->feed);
  if (neighbours->membership_timer != NULL)
    event_free (neighbours->membership_timer);
  HASH_CLEAR (hh, neighbours->members);
  for (; entry != NULL; entry = next)
    {
      next = entry->hh.next;
      free (entry);
    }
}

/* The own entry. */

static void
schedule (struct neighbours *neighbours, uint32_t delay_ms)
{
  const struct timeval delay = clock_timeval (delay_ms);

  event_add (neighbours->membership_timer, &delay);
}

static void
on_membership (evutil_socket_t fd, short what, void *arg)
{
  struct neighbours *neighbours = arg;
  struct platform *platform = neighbours->gateway->platform;
  int error;

  (void)fd;
  (void)what;
  if (neighbours->membership == MEMBERSHIP_HELD)
    error = platform->ops->keep (platform, neighbours->lease, on_kept,
                                 neighbours);
  else
    {
      neighbours->membership = MEMBERSHIP_GRANTING;
      error
          = platform->ops->grant (platform, LEASE_MS, on_granted, neighbours);
    }
  if (error != 0)
    schedule (neighbours, RETRY_MS);
}

static void
on_granted (void *user, int error, uint64_t lease)
{
  struct neighbours *neighbours = user;
  struct gateway *gateway = neighbours->gateway;
  struct platform *platform = gateway->platform;
  char value[GATEWAY_ADDRESS_SIZE + GATEWAY_NAME_SIZE + 16];
  const struct platform_item put
      = { .key = neighbours->key,
          .value = value,
          .value_size = (size_t)snprintf (value, sizeof value, "%s %s %u",
                                          peernet_address (neighbours->net),
                                          gateway->settings.availability_zone,
                                          gateway->settings.cpu_permille) };
  const struct platform_commit commit
      = { .puts = &put, .put_count = 1, .lease = lease };

  neighbours->lease = lease;
  neighbours->membership = MEMBERSHIP_WRITING;
  if (error == 0)
    error = platform->ops->commit (platform, &commit, on_written, neighbours);
  if (error != 0)
    {
      neighbours->membership = MEMBERSHIP_NONE;
      schedule (neighbours, RETRY_MS);
    }
}

static void
on_written (void *user, int error, uint64_t index)
{
  struct neighbours *neighbours = user;

  (void)index;
  neighbours->membership = error == 0 ? MEMBERSHIP_HELD : MEMBERSHIP_NONE;
  schedule (neighbours, error == 0 ? KEEP_MS : RETRY_MS);
}

static void
on_kept (void *user, int error, uint64_t index)
{
  struct neighbours *neighbours = user;

  (void)index;
  if (error == ERR_NOT_FOUND)
    neighbours->membership = MEMBERSHIP_NONE;
  schedule (neighbours, error == 0 ? KEEP_MS : RETRY_MS);
}

/* All entries. */

void
neighbours_members_begin (struct neighbours *neighbours)
{
  struct member_entry *entry;

  for (entry = neighbours->members; entry != NULL; entry = entry->hh.next)
    entry->seen = false;
}

void
neighbours_members_end (struct neighbours *neighbours)
{
  struct member_entry *entry;
  struct member_entry *next;

  for (entry = neighbours->members; entry != NULL; entry = next)
    {
      next = entry->hh.next;
      if (!entry->seen)
        gone (neighbours, entry);
    }
  neighbours->members_changed = true;
  neighbours->listed = true;
}

static void
gone (struct neighbours *neighbours, struct member_entry *entry)
{
  const struct platform_item deleted = { .key = entry->key };

  neighbours_pass_on (neighbours->gateway, &deleted, true);
  offer (neighbours, entry, false);
  /* The analyzer takes what was freed in one call for the head in the next. */
  /* NOLINTBEGIN(clang-analyzer-*) */
  HASH_DEL (neighbours->members, entry);
  /* NOLINTEND(clang-analyzer-*) */
  free (entry);
  neighbours->members_changed = true;
}

/* Its value is "ADDRESS ZONE CAPACITY". */
static int
there (struct neighbours *neighbours, const struct platform_item *item)
{
  size_t prefix = strlen (neighbours->gateway->adapter->own_prefix);
  struct member_entry *entry;
  char value[GATEWAY_ADDRESS_SIZE + GATEWAY_NAME_SIZE + 16];
  char *zone;
  char *capacity;

  if (item->value_size >= sizeof value || strlen (item->key) < prefix
      || strlen (item->key) >= sizeof entry->key)
    return ERR_INVALID;
  memcpy (value, item->value, item->value_size);
  value[item->value_size] = '\0';
  zone = strchr (value, ' ');
  if (zone == NULL || zone - value >= (ptrdiff_t)sizeof entry->address)
    return ERR_INVALID;
  *zone++ = '\0';
  capacity = strchr (zone, ' ');
  if (capacity == NULL)
    return ERR_INVALID;
  *capacity++ = '\0';
  HASH_FIND_STR (neighbours->members, item->key, entry);
  if (entry != NULL && strcmp (entry->address, value) != 0)
    {
      gone (neighbours, entry);
      entry = NULL;
    }
  if (entry == NULL)
    {
      entry = calloc (1, sizeof *entry);
      if (entry == NULL)
        return ERR_NO_MEMORY;
      memcpy (entry->key, item->key, strlen (item->key) + 1);
      memcpy (entry->address, value, strlen (value) + 1);
      entry->id = catalog_id (item->key + prefix);
      entry->zone_id = catalog_id (zone);
      entry->capacity = (uint32_t)strtoul (capacity, NULL, 10);
      HASH_ADD_STR (neighbours->members, key, entry);
      neighbours->members_changed = true;
    }
  entry->seen = true;
  return 0;
}

void
neighbours_member_item (struct neighbours *neighbours,
                        const struct platform_item *item)
{
  struct member_entry *entry;
  int error;

  if (item->value == NULL)
    {
      HASH_FIND_STR (neighbours->members, item->key, entry);
      if (entry != NULL)
        gone (neighbours, entry);
      return;
    }
  error = there (neighbours, item);
  if (error != 0)
    LOG (LOG_PEER_REJECTED, NULL, LOG_S ("member", item->key),
         LOG_S ("error", err_name (error)));
  else
    neighbours_pass_on (neighbours->gateway, item, true);
}

static void
on_item (void *user, const struct platform_item *item)
{
  neighbours_member_item (user, item);
}

static void
on_listing (void *user)
{
  neighbours_members_begin (user);
}

static void
on_listed (void *user, uint64_t index)
{
  (void)index;
  neighbours_members_end (user);
}

static void
on_failed (void *user, int error)
{
  (void)user;
  LOG (LOG_STORE_UNAVAILABLE, NULL, LOG_S ("for", "members"),
       LOG_S ("error", err_name (error)));
}

static void
on_recovered (void *user, uint64_t outage_ns)
{
  (void)user;
  LOG (LOG_STORE_RECOVERED, NULL, LOG_S ("for", "members"),
       LOG_U ("outage_ms", outage_ns / CLOCK_NS_PER_MS));
}

/* Hubs. */

void
neighbours_assign (struct neighbours *neighbours)
{
  size_t count = 0;
  struct hubs_member *members
      = calloc (HASH_COUNT (neighbours->members) + 1, sizeof *members);
  struct member_entry *entry;
  bool self = false;
  size_t i;

  if (members == NULL)
    return;
  neighbours->members_changed = false;
  for (entry = neighbours->members; entry != NULL; entry = entry->hh.next)
    {
      members[count++] = (struct hubs_member){ .id = entry->id,
                                               .zone_id = entry->zone_id,
                                               .capacity = entry->capacity };
      self = self || entry->id == neighbours->self_id;
    }
  if (!self)
    members[count++] = (struct hubs_member){
      .id = neighbours->self_id,
      .zone_id = neighbours->zone_id,
      .capacity = neighbours->gateway->settings.cpu_permille,
    };
  hubs_assign (members, count);
  for (i = 0; i < count; i++)
    if (members[i].id == neighbours->self_id)
      neighbours->hub = members[i].hub;
  for (entry = neighbours->members; entry != NULL; entry = entry->hh.next)
    {
      for (i = 0; i < count && members[i].id != entry->id; i++)
        continue;
      entry->hub = i < count && members[i].hub;
      offer (
          neighbours, entry,
          entry->id != neighbours->self_id && entry->hub
              && (neighbours->hub || entry->zone_id == neighbours->zone_id));
    }
  free (members);
  if (neighbours->hub)
    feed_resume (&neighbours->feed);
  else if (neighbours->listed)
    feed_pause (&neighbours->feed);
}

static void
offer (struct neighbours *neighbours, struct member_entry *entry, bool wanted)
{
  int error = 0;

  if (entry->offered == wanted)
    return;
  entry->offered = wanted;
  if (wanted)
    error = peernet_offer (neighbours->net, entry->address, true);
  else
    peernet_withdraw (neighbours->net, entry->address);
  if (error != 0)
    LOG (LOG_PEER_REJECTED, NULL, LOG_S ("address", entry->address),
         LOG_S ("error", err_name (error)));
}

/**
 * @file gateway_quarantine.c
 * Refusal of requests with parts of prompts under which upstreams crash.
 *
 * The store has an entry for each held part, "SERVICE-PART" in hexadecimal
 * under a prefix among those of the gateways' own entries, with its generation
 * as the value; and below it one for each trial.  Creating the latter decides
 * which instance sends the trial.
 */
#include "gateway/gateway_quarantine.h"
#include "gateway/gateway_peers.h"
#include "state/err.h"
#include "transport/log.h"
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define KEY_PREFIX "~quarantine/"
#define KEY_SIZE   160
/* Complete events from which a stream shows that its upstream can respond. */
#define EVENTS_MIN 2
/* Attempts of a request that may end in a crash.  One that ended two upstreams
   is more likely their cause than a victim twice. */
#define CRASHED_ATTEMPTS_MAX 2
/* Crashes of a part from which its requests are not sent again. */
#define RETRY_CRASHES_MAX 2
/* Hubs write an entry after a random time up to this one, so that usually a
   single one does. */
#define WRITE_DELAY_MS 2000
/* Stands for upstreams whose crashes only the store knows of. */
#define STORED_UPSTREAM_ID 1
#define TICKS_PER_EXPIRY   100

static void on_changed (void *user, const struct quarantine_entry *entry);
static bool ask_for_trial (struct gateway *gateway,
                           struct quarantine_entry *entry);
static void on_trial_decided (void *user, int error, uint64_t index);
static void update_entry (struct gateway *gateway,
                          struct quarantine_entry *entry);
static void on_entry_written (void *user, int error, uint64_t index);
static int write_store (struct gateway *gateway,
                        const struct quarantine_entry *entry,
                        const struct kvstore_txn *txn, kvstore_write_fn done);
static struct quarantine_entry *finish_write (struct gateway *gateway);
static void format_key (const struct gateway *gateway,
                        const struct quarantine_key *key, uint32_t trial,
                        char text[KEY_SIZE]);
static int parse_key (const struct gateway *gateway, const char *text,
                      struct quarantine_key *key, uint32_t *trial);

void
gateway_quarantine_start (struct gateway *gateway)
{
  quarantine_init (&gateway->quarantine);
  gateway->quarantine.changed = on_changed;
  gateway->quarantine.user = gateway;
}

static void
on_changed (void *user, const struct quarantine_entry *entry)
{
  char id[24];

  (void)user;
  snprintf (id, sizeof id, "%" PRIx64, entry->key.subject);
  LOG (entry->held_ns != 0 ? LOG_PART_HELD : LOG_PART_RELEASED, NULL,
       LOG_S ("part", id), LOG_U ("upstreams", entry->upstream_count),
       LOG_U ("trials", entry->trials),
       LOG_U ("generation", entry->generation));
}

/* Requests. */

bool
gateway_quarantine_holds (struct gateway_request *request)
{
  struct gateway *gateway = request->gateway;
  const struct prompt *prompt = &request->parsed.prompt;
  uint64_t now_ns = gateway_now_ns (gateway);
  struct quarantine_entry *entry;

  if (request->trial)
    return false;
  entry = quarantine_find_held (&gateway->quarantine, request->service->id,
                                prompt->ids, prompt_shared_id_count (prompt),
                                now_ns);
  if (entry == NULL)
    return false;
  request->trial = quarantine_take_trial (entry, now_ns);
  if (!request->trial && quarantine_trial_due (entry, now_ns))
    entry->trial_asked = ask_for_trial (gateway, entry);
  return !request->trial;
}

void
gateway_quarantine_attempt_failed (struct gateway_request *request, int error)
{
  const struct prompt *prompt = &request->parsed.prompt;

  if ((error != ERR_RESET && error != ERR_TRUNCATED)
      || request->sse.events >= EVENTS_MIN
      || request->attempt_state.step < ATTEMPT_SENDING)
    return;
  request->crashed_attempts++;
  quarantine_record_crash (&request->gateway->quarantine, request->service->id,
                           prompt->ids, prompt_shared_id_count (prompt),
                           request->upstream_id,
                           gateway_now_ns (request->gateway));
}

void
gateway_quarantine_responded (struct gateway_request *request)
{
  const struct prompt *prompt = &request->parsed.prompt;

  if (request->responded
      || (request->is_stream && request->sse.events < EVENTS_MIN))
    return;
  request->responded = true;
  quarantine_record_response (
      &request->gateway->quarantine, request->service->id, prompt->ids,
      prompt_shared_id_count (prompt), gateway_now_ns (request->gateway));
}

bool
gateway_quarantine_may_retry (const struct gateway_request *request)
{
  const struct prompt *prompt = &request->parsed.prompt;

  return request->crashed_attempts == 0
         || (!request->trial
             && request->crashed_attempts < CRASHED_ATTEMPTS_MAX
             && quarantine_crashes (&request->gateway->quarantine,
                                    request->service->id, prompt->ids,
                                    prompt_shared_id_count (prompt))
                    < RETRY_CRASHES_MAX);
}

/* The store. */

bool
gateway_quarantine_owns_key (const struct gateway *gateway, const char *key)
{
  size_t length = strlen (gateway->adapter->gateway_prefix);

  return strncmp (key, gateway->adapter->gateway_prefix, length) == 0
         && strncmp (key + length, KEY_PREFIX, strlen (KEY_PREFIX)) == 0;
}

void
gateway_quarantine_apply_item (struct gateway *gateway,
                               const struct kvstore_item *item)
{
  struct quarantine *quarantine = &gateway->quarantine;
  uint64_t now_ns = gateway_now_ns (gateway);
  struct quarantine_row row = { .upstream_id = STORED_UPSTREAM_ID,
                                .crashes = QUARANTINE_CRASH_LIMIT };
  struct quarantine_entry *entry;
  char value[16];

  if (parse_key (gateway, item->key, &row.key, &row.trials) != 0
      || item->value_size >= sizeof value)
    {
      LOG (LOG_PEER_REJECTED, NULL, LOG_S ("quarantine", item->key),
           LOG_S ("error", err_name (ERR_INVALID)));
      return;
    }
  if (item->value == NULL)
    {
      entry = quarantine_find (quarantine, &row.key);
      if (entry != NULL && row.trials == 0)
        entry->stored = false;
    }
  else
    {
      memcpy (value, item->value, item->value_size);
      value[item->value_size] = '\0';
      row.generation = (uint32_t)strtoul (value, NULL, 10);
      quarantine_merge (quarantine, &row, now_ns);
      entry = quarantine_find (quarantine, &row.key);
      if (entry != NULL)
        entry->stored = true;
    }
  gateway_peers_publish_item (gateway, item, true);
}

void
gateway_quarantine_tick (struct gateway *gateway)
{
  struct quarantine_entry *entry;
  uint64_t now_ns = gateway_now_ns (gateway);

  for (entry = gateway->quarantine.entries; entry != NULL;
       entry = entry->hh.next)
    {
      if (entry->stored == (entry->held_ns != 0))
        entry->store_ns = 0;
      else if (!gateway_peers_is_hub (gateway))
        continue;
      else if (entry->store_ns == 0)
        entry->store_ns
            = now_ns
              + rng_below (&gateway->rng, WRITE_DELAY_MS) * CLOCK_NS_PER_MS;
      else if (now_ns >= entry->store_ns)
        update_entry (gateway, entry);
    }
  if (gateway->ticks % TICKS_PER_EXPIRY == 0)
    quarantine_expire (&gateway->quarantine, now_ns);
}

/* Writes the entry of a held part, or deletes that of a released one. */
static void
update_entry (struct gateway *gateway, struct quarantine_entry *entry)
{
  char keys[1 + QUARANTINE_TRIALS_MAX][KEY_SIZE];
  const char *deletes[1 + QUARANTINE_TRIALS_MAX];
  char value[16];
  struct kvstore_item put = { .key = keys[0], .value = value };
  struct kvstore_txn txn = { .put_count = 0 };
  uint32_t i;

  for (i = 0; i <= QUARANTINE_TRIALS_MAX; i++)
    {
      format_key (gateway, &entry->key, i, keys[i]);
      deletes[i] = keys[i];
    }
  put.value_size
      = (size_t)snprintf (value, sizeof value, "%" PRIu32, entry->generation);
  if (entry->held_ns != 0)
    {
      txn.puts = &put;
      txn.put_count = 1;
    }
  else
    {
      txn.deletes = deletes;
      txn.delete_count = 1 + QUARANTINE_TRIALS_MAX;
    }
  entry->store_ns
      = gateway_now_ns (gateway) + WRITE_DELAY_MS * CLOCK_NS_PER_MS;
  write_store (gateway, entry, &txn, on_entry_written);
}

static void
on_entry_written (void *user, int error, uint64_t index)
{
  struct quarantine_entry *entry = finish_write (user);

  (void)index;
  if (entry != NULL && error == 0)
    entry->stored = entry->held_ns != 0;
  else if (error != 0)
    LOG (LOG_STORE_UNAVAILABLE, NULL, LOG_S ("for", "quarantine"),
         LOG_S ("error", err_name (error)));
}

/* @return whether the decision is in progress. */
static bool
ask_for_trial (struct gateway *gateway, struct quarantine_entry *entry)
{
  char key[KEY_SIZE];
  char value[16];
  const struct kvstore_item absent = { .key = key, .index = 0 };
  struct kvstore_item put = { .key = key, .value = value };
  const struct kvstore_txn txn = {
    .conditions = &absent, .condition_count = 1, .puts = &put, .put_count = 1
  };

  format_key (gateway, &entry->key, entry->trials + 1, key);
  put.value_size
      = (size_t)snprintf (value, sizeof value, "%" PRIu32, entry->generation);
  return write_store (gateway, entry, &txn, on_trial_decided) == 0;
}

static void
on_trial_decided (void *user, int error, uint64_t index)
{
  struct gateway *gateway = user;
  uint32_t generation = gateway->quarantine_write.generation;
  struct quarantine_entry *entry = finish_write (gateway);
  char id[24];

  (void)index;
  if (entry == NULL)
    return;
  entry->trial_asked = false;
  if (entry->generation != generation)
    return;
  if (error == 0 || error == ERR_CONFLICT || error == ERR_UNKNOWN_OUTCOME)
    quarantine_start_trial (&gateway->quarantine, entry, error == 0,
                            gateway_now_ns (gateway));
  snprintf (id, sizeof id, "%" PRIx64, entry->key.subject);
  LOG (LOG_PART_TRIAL, NULL, LOG_S ("part", id),
       LOG_U ("trials", entry->trials),
       LOG_S ("here", error == 0 ? "yes" : "no"),
       LOG_S ("error", err_name (error)));
}

static int
write_store (struct gateway *gateway, const struct quarantine_entry *entry,
             const struct kvstore_txn *txn, kvstore_write_fn done)
{
  int error;

  if (gateway->quarantine_write.pending)
    return ERR_FULL;
  gateway->quarantine_write = (struct gateway_quarantine_write){
    .pending = true, .key = entry->key, .generation = entry->generation
  };
  error = gateway->store->ops->txn (gateway->store, txn, done, gateway);
  if (error == 0)
    return 0;
  gateway->quarantine_write.pending = false;
  LOG (LOG_STORE_UNAVAILABLE, NULL, LOG_S ("for", "quarantine"),
       LOG_S ("error", err_name (error)));
  return error;
}

/* @return the part; NULL if it was forgotten meanwhile. */
static struct quarantine_entry *
finish_write (struct gateway *gateway)
{
  gateway->quarantine_write.pending = false;
  return quarantine_find (&gateway->quarantine,
                          &gateway->quarantine_write.key);
}

/* @param trial  0 for the entry of the part itself. */
static void
format_key (const struct gateway *gateway, const struct quarantine_key *key,
            uint32_t trial, char text[KEY_SIZE])
{
  int size = snprintf (
      text, KEY_SIZE, "%s" KEY_PREFIX "%016" PRIx64 "-%016" PRIx64,
      gateway->adapter->gateway_prefix, key->service_id, key->subject);

  if (trial > 0 && size > 0 && size < KEY_SIZE)
    snprintf (text + size, KEY_SIZE - (size_t)size, "/%" PRIu32, trial);
}

static int
parse_key (const struct gateway *gateway, const char *text,
           struct quarantine_key *key, uint32_t *trial)
{
  char *end;

  text += strlen (gateway->adapter->gateway_prefix) + strlen (KEY_PREFIX);
  key->service_id = strtoull (text, &end, 16);
  if (end == text || *end != '-')
    return ERR_INVALID;
  text = end + 1;
  key->subject = strtoull (text, &end, 16);
  if (end == text || (*end != '\0' && *end != '/'))
    return ERR_INVALID;
  *trial = *end == '/' ? (uint32_t)strtoul (end + 1, &end, 10) : 0;
  return *end == '\0' ? 0 : ERR_INVALID;
}

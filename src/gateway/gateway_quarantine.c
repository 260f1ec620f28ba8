/**
 * @file gateway_quarantine.c
 * Refusal of requests under which upstreams crash, or under parts of whose
 * prompts they do.
 *
 * The store has an entry for each held one, "SERVICE-SUBJECT" in hexadecimal
 * under a prefix among those of the gateways' own entries, with its generation
 * as the value; and below it one for each trial.  Creating the latter decides
 * which instance sends the trial.
 */
#include "gateway/gateway_quarantine.h"
#include "gateway/gateway_peers.h"
#include "state/err.h"
#include "transport/log.h"
#include <ctype.h>
#include <errno.h>
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
/* Crashes of a request, or of a part, from which it is not sent again. */
#define RETRY_CRASHES_MAX 2
/* Hubs write an entry after a random time up to this one, so that usually a
   single one does. */
#define WRITE_DELAY_MS 2000
/* Stands for upstreams whose crashes only the store knows of. */
#define STORED_UPSTREAM_ID 1
#define TICKS_PER_EXPIRY   100

/** Events of an entry that are logged. */
enum held_event
{
  EVENT_HELD,
  EVENT_RELEASED,
  EVENT_TRIAL,
  EVENT_MAX
};

static void on_changed (void *user, const struct quarantine_entry *entry);
static struct quarantine_entry *find_held (struct gateway_request *request);
static uint32_t crashes (struct gateway_request *request);
static struct gateway_request *find_waiting (const struct gateway *gateway);
static bool ask_for_trial (struct gateway *gateway,
                           struct quarantine_entry *entry);
static void on_trial_decided (void *user, int error, uint64_t index);
static void start_trial (struct gateway *gateway,
                         struct quarantine_entry *entry, int error);
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
static int parse_value (const struct kvstore_item *item, uint32_t *generation);
static int parse_number (const char *text, uint32_t min, uint32_t max,
                         uint32_t *number);

/* Of a part of prompts, and of a request. */
static const enum log_message messages[EVENT_MAX][2] = {
  [EVENT_HELD] = { LOG_PART_HELD, LOG_REQUEST_HELD },
  [EVENT_RELEASED] = { LOG_PART_RELEASED, LOG_REQUEST_RELEASED },
  [EVENT_TRIAL] = { LOG_PART_TRIAL, LOG_REQUEST_TRIAL },
};

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
  const bool is_request = entry->key.service_id == QUARANTINE_REQUEST;
  char id[24];

  (void)user;
  snprintf (id, sizeof id, "%" PRIx64, entry->key.subject);
  LOG (messages[entry->held_ns != 0 ? EVENT_HELD : EVENT_RELEASED][is_request],
       NULL, LOG_S (is_request ? "digest" : "part", id),
       LOG_U ("upstreams", entry->upstream_count),
       LOG_U ("trials", entry->trials),
       LOG_U ("generation", entry->generation));
}

/* Requests. */

/* The digest is computed only if there is one to compare it with. */
static struct quarantine_entry *
find_held (struct gateway_request *request)
{
  struct quarantine *quarantine = &request->gateway->quarantine;
  const struct prompt *prompt = &request->parsed.prompt;
  uint64_t now_ns = gateway_now_ns (request->gateway);
  struct quarantine_entry *entry
      = quarantine_find_held (quarantine, request->service->id, prompt->ids,
                              prompt_shared_id_count (prompt), now_ns);
  uint64_t digest;

  if (entry != NULL || quarantine->request_count == 0)
    return entry;
  digest = gateway_request_digest (request);
  return quarantine_find_held (quarantine, QUARANTINE_REQUEST, &digest, 1,
                               now_ns);
}

bool
gateway_quarantine_holds (struct gateway_request *request)
{
  struct quarantine_entry *entry;

  if (request->trial)
    return false;
  entry = find_held (request);
  if (entry == NULL)
    return false;
  request->trial
      = quarantine_take_trial (entry, gateway_now_ns (request->gateway));
  if (request->trial)
    request->trial_key = entry->key;
  return !request->trial;
}

bool
gateway_quarantine_ask (struct gateway_request *request)
{
  struct gateway *gateway = request->gateway;
  uint64_t now_ns = gateway_now_ns (gateway);
  struct quarantine_entry *entry = find_held (request);
  struct choose_result result;

  if (entry == NULL || request->sent_attempts > 0
      || !quarantine_trial_due (entry, now_ns))
    return false;
  gateway_request_choose (request, &result);
  if (result.upstream == NULL
      || outlier_ejected (&result.upstream->outlier, now_ns))
    return false;
  entry->trial_asked = ask_for_trial (gateway, entry);
  request->awaits_trial = entry->trial_asked;
  return request->awaits_trial;
}

void
gateway_quarantine_attempt_failed (struct gateway_request *request, int error)
{
  struct quarantine *quarantine = &request->gateway->quarantine;
  const struct prompt *prompt = &request->parsed.prompt;
  uint64_t now_ns = gateway_now_ns (request->gateway);
  uint64_t digest;

  if ((error != ERR_RESET && error != ERR_TRUNCATED)
      || request->attempt_state.step < ATTEMPT_SENDING)
    return;
  digest = gateway_request_digest (request);
  quarantine_record_crash (quarantine, QUARANTINE_REQUEST, &digest, 1,
                           request->upstream_id, now_ns);
  if (request->sse.events >= EVENTS_MIN)
    return;
  request->crashed_attempts++;
  quarantine_record_crash (quarantine, request->service->id, prompt->ids,
                           prompt_shared_id_count (prompt),
                           request->upstream_id, now_ns);
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

/* Responses to plain requests are recorded even if nothing has crashed: a
   request that is sent again and again has one before the first crash, unless
   it is the cause. */
void
gateway_quarantine_completed (struct gateway_request *request)
{
  struct quarantine *quarantine = &request->gateway->quarantine;
  uint64_t digest;

  if (request->parsed.prompt.part_count > 0 && quarantine->request_count == 0)
    return;
  digest = gateway_request_digest (request);
  quarantine_record_response (quarantine, QUARANTINE_REQUEST, &digest, 1,
                              gateway_now_ns (request->gateway));
}

void
gateway_quarantine_ended (struct gateway_request *request)
{
  struct quarantine_entry *entry;

  if (!request->trial || request->sent_attempts > 0)
    return;
  entry = quarantine_find (&request->gateway->quarantine, &request->trial_key);
  if (entry != NULL)
    quarantine_return_trial (entry, gateway_now_ns (request->gateway));
}

static uint32_t
crashes (struct gateway_request *request)
{
  const struct quarantine *quarantine = &request->gateway->quarantine;
  const struct prompt *prompt = &request->parsed.prompt;
  const uint64_t digest = gateway_request_digest (request);
  uint32_t of_request
      = quarantine_crashes (quarantine, QUARANTINE_REQUEST, &digest, 1);
  uint32_t of_parts
      = quarantine_crashes (quarantine, request->service->id, prompt->ids,
                            prompt_shared_id_count (prompt));

  return of_request > of_parts ? of_request : of_parts;
}

bool
gateway_quarantine_may_retry (struct gateway_request *request)
{
  if (request->trial)
    return request->sent_attempts == 0;
  return request->crashed_attempts == 0
         || (request->crashed_attempts < CRASHED_ATTEMPTS_MAX
             && crashes (request) < RETRY_CRASHES_MAX);
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

  if (parse_key (gateway, item->key, &row.key, &row.trials) != 0
      || (item->value != NULL && parse_value (item, &row.generation) != 0))
    {
      gateway->counters.entries_rejected++;
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
      quarantine_merge (quarantine, &row, true, now_ns);
      entry = quarantine_find (quarantine, &row.key);
      if (entry != NULL)
        {
          entry->stored = true;
          /* Others have waited for responses before they wrote it. */
          if (entry->held_ns > now_ns)
            entry->held_ns = now_ns;
        }
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

/* Writes the entry of what is held, or deletes that of what is released. */
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
    LOG (log_store_message (error), NULL, LOG_S ("for", "quarantine"),
         LOG_S ("error", err_name (error)));
}

static struct gateway_request *
find_waiting (const struct gateway *gateway)
{
  struct gateway_request *request;

  for (request = gateway->requests; request != NULL; request = request->next)
    if (request->awaits_trial)
      return request;
  return NULL;
}

/* @return whether the decision is in progress. */
static bool
ask_for_trial (struct gateway *gateway, struct quarantine_entry *entry)
{
  char key[KEY_SIZE];
  char value[16];
  const char *const absent[] = { key };
  struct kvstore_item put = { .key = key, .value = value };
  const struct kvstore_txn txn
      = { .absent = absent, .absent_count = 1, .puts = &put, .put_count = 1 };

  format_key (gateway, &entry->key, entry->trials + 1, key);
  put.value_size
      = (size_t)snprintf (value, sizeof value, "%" PRIu32, entry->generation);
  return write_store (gateway, entry, &txn, on_trial_decided) == 0;
}

/* One decision at a time is in progress, so at most one request waits. */
static void
on_trial_decided (void *user, int error, uint64_t index)
{
  struct gateway *gateway = user;
  uint32_t generation = gateway->quarantine_write.generation;
  struct quarantine_entry *entry = finish_write (gateway);
  struct gateway_request *request = find_waiting (gateway);

  (void)index;
  if (entry != NULL)
    {
      entry->trial_asked = false;
      if (entry->generation == generation)
        start_trial (gateway, entry, error);
    }
  if (request != NULL)
    {
      request->awaits_trial = false;
      gateway_request_try (request);
    }
}

static void
start_trial (struct gateway *gateway, struct quarantine_entry *entry,
             int error)
{
  const bool is_request = entry->key.service_id == QUARANTINE_REQUEST;
  char id[24];

  if (error == 0 || error == ERR_CONFLICT || error == ERR_UNKNOWN_OUTCOME)
    quarantine_start_trial (&gateway->quarantine, entry, error == 0,
                            gateway_now_ns (gateway));
  snprintf (id, sizeof id, "%" PRIx64, entry->key.subject);
  LOG (messages[EVENT_TRIAL][is_request], NULL,
       LOG_S (is_request ? "digest" : "part", id),
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
  LOG (log_store_message (error), NULL, LOG_S ("for", "quarantine"),
       LOG_S ("error", err_name (error)));
  return error;
}

/* @return the entry; NULL if it was forgotten meanwhile. */
static struct quarantine_entry *
finish_write (struct gateway *gateway)
{
  gateway->quarantine_write.pending = false;
  return quarantine_find (&gateway->quarantine,
                          &gateway->quarantine_write.key);
}

/* @param trial  0 for the entry of the subject itself. */
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
  if (!isxdigit ((unsigned char)*text))
    return ERR_INVALID;
  errno = 0;
  key->service_id = strtoull (text, &end, 16);
  if (*end != '-' || !isxdigit ((unsigned char)end[1]))
    return ERR_INVALID;
  key->subject = strtoull (end + 1, &end, 16);
  *trial = 0;
  if (errno != 0)
    return ERR_INVALID;
  if (*end == '\0')
    return 0;
  return *end == '/' ? parse_number (end + 1, 1, QUARANTINE_TRIALS_MAX, trial)
                     : ERR_INVALID;
}

static int
parse_value (const struct kvstore_item *item, uint32_t *generation)
{
  char value[16];

  if (item->value_size >= sizeof value)
    return ERR_INVALID;
  memcpy (value, item->value, item->value_size);
  value[item->value_size] = '\0';
  /* Another generation may follow. */
  return parse_number (value, 0, UINT32_MAX - 1, generation);
}

/* @return 0, or ERR_INVALID for text that is no number between the bounds. */
static int
parse_number (const char *text, uint32_t min, uint32_t max, uint32_t *number)
{
  unsigned long long parsed;
  char *end;

  if (!isdigit ((unsigned char)*text))
    return ERR_INVALID;
  parsed = strtoull (text, &end, 10);
  if (*end != '\0' || parsed < min || parsed > max)
    return ERR_INVALID;
  *number = (uint32_t)parsed;
  return 0;
}

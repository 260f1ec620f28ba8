/**
 * @file log.h
 * Structured log: one logfmt line per event, on standard error by default.
 * Every message comes from a table that holds its severity; fields are typed.
 * Secrets and request bodies are never logged.
 */
#ifndef TRANSPORT_LOG_H
#define TRANSPORT_LOG_H

#include "transport/clock.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum log_level
{
  LOG_LEVEL_DEBUG,
  LOG_LEVEL_INFO,
  LOG_LEVEL_WARN,
  LOG_LEVEL_ERROR,
  LOG_LEVEL_MAX
};

/** Messages; log_messages.c has their texts and severities in the same
    groups. */
enum log_message
{
  /* process */
  LOG_STARTED,
  LOG_STOPPED,
  LOG_LISTENING,
  LOG_LISTEN_FAILED,
  LOG_SETTINGS_REFUSED,
  LOG_SETTINGS_RELOADED,
  LOG_DRAIN_STARTED,
  LOG_DRAIN_FINISHED,
  LOG_DRAIN_TIMEOUT,
  LOG_LOOP_LATE,
  LOG_LOOP_TIME,
  LOG_ROTATION_CHANGED,
  LOG_CONNECTIONS_SHED,
  LOG_CONNECTION_CUT,
  LOG_CONNECTIONS_CLOSED,
  LOG_QUEUE_DISPATCHED,
  LOG_CONTROL_LATE,
  /* requests */
  LOG_REQUEST_ACCEPTED,
  LOG_REQUEST_WAITED,
  LOG_REQUEST_REFUSED,
  LOG_REQUEST_DONE,
  LOG_REQUEST_ABORTED,
  LOG_CLIENT_GONE,
  LOG_ATTEMPT_STARTED,
  LOG_ATTEMPT_FAILED,
  LOG_UPSTREAM_DRAINING,
  LOG_UPSTREAM_PAUSED,
  LOG_UPSTREAM_LIMITED,
  LOG_UPSTREAM_MISMATCH,
  LOG_UPSTREAM_REJECTED,
  LOG_STATUS_WITHHELD,
  LOG_PART_HELD,
  LOG_PART_RELEASED,
  LOG_PART_TRIAL,
  LOG_REQUEST_HELD,
  LOG_REQUEST_RELEASED,
  LOG_REQUEST_TRIAL,
  LOG_STREAM_UNKNOWN,
  /* peers */
  LOG_PEER_UP,
  LOG_PEER_DOWN,
  LOG_PEER_REJECTED,
  LOG_MEMBER_STATUS,
  LOG_LESSOR_CHANGED,
  /* configuration */
  LOG_CONFIG_APPLIED,
  LOG_CONFIG_REJECTED,
  LOG_CONFIG_ENTRY_REJECTED,
  LOG_CONFIG_STALE,
  LOG_CONFIG_READY,
  LOG_STORE_UNAVAILABLE,
  LOG_STORE_UNUSABLE,
  LOG_STORE_RECOVERED,
  LOG_STORE_REVERTED,
  LOG_STORE_RESTORED,
  LOG_STORE_ITEM_REJECTED,
  LOG_STORE_RESPONSE_UNREADABLE,
  LOG_STORE_RESPONSE_OVERSIZED,
  LOG_ADMIN_CHANGE,
  LOG_ADMIN_REFUSED,
  /* log */
  LOG_LINES_DROPPED,
  LOG_MESSAGE_MAX
};

enum log_field_kind
{
  LOG_FIELD_STRING,
  LOG_FIELD_U64,
  LOG_FIELD_I64
};

struct log_field
{
  const char *key;
  enum log_field_kind kind;
  union
  {
    const char *string;
    uint64_t u64;
    int64_t i64;
  } u;
};

#define LOG_S(k, v)                                                           \
  ((struct log_field){ (k), LOG_FIELD_STRING, { .string = (v) } })
#define LOG_U(k, v) ((struct log_field){ (k), LOG_FIELD_U64, { .u64 = (v) } })
#define LOG_I(k, v) ((struct log_field){ (k), LOG_FIELD_I64, { .i64 = (v) } })

/** Logs a message of the table with one or more fields:
    LOG (LOG_PEER_UP, NULL, LOG_S ("peer", name)).  The request ID may be
    NULL. */
#define LOG(message, request_id, ...)                                         \
  log_write ((message), (request_id),                                         \
             (const struct log_field[]){ __VA_ARGS__ },                       \
             sizeof ((const struct log_field[]){ __VA_ARGS__ })               \
                 / sizeof (struct log_field))

/** Severity and text of a message, from the table in log_messages.c. */
struct log_message_info
{
  enum log_level level;
  const char *text;
  bool routine; /**< reports a success; dropped first under a line limit */
};
extern const struct log_message_info log_messages[LOG_MESSAGE_MAX];

/** @return the message for a call to a store that failed. */
enum log_message log_store_message (int error);

/** Destination of lines; by default standard error without a line limit. */
struct log_sink
{
  int fd;
  const char *instance; /**< added to every line, or NULL; not copied */
  uint32_t lines_max;   /**< limit per second; 0: no limit */
};

/** Sets the destination.  With a line limit, logging never blocks: lines are
    dropped while the reader of a pipe does not read. */
void log_set_sink (const struct log_sink *sink);

/** Sets the process-wide level and clock; the clock must outlive logging. */
void log_init (enum log_level level, const struct clock *clock);
/** @return the level of a name, or LOG_LEVEL_MAX if it is unknown. */
enum log_level log_level_parse (const char *name);
/** @return whether a line was written: none below the level, above the limit
    of lines, or on an error. */
bool log_write (enum log_message message, const char *request_id,
                const struct log_field *fields, size_t count);
/** @return whether log_write() would write a line now; if not, one is counted
    as dropped.  For fields that cost much. */
bool log_has_budget (enum log_message message);
/** Formats one line, with the instance of the sink, into `out`, terminated by
    a NUL.  A line that does not fit is truncated.
    @return its length. */
size_t log_format (char *out, size_t size, uint64_t wall_ms,
                   enum log_message message, const char *request_id,
                   const struct log_field *fields, size_t count);

#endif

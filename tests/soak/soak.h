/**
 * @file soak.h
 * Soak test of real gateways under random faults.  This program runs the
 * store, the upstreams, the clients and the fault schedule on one event loop.
 * It prints the commands for processes and links that soak.sh executes, one
 * per line, and checks invariants on what clients and upstreams observe.
 */
#ifndef TESTS_SOAK_SOAK_H
#define TESTS_SOAK_SOAK_H

#include "state/rng.h"
#include "support/storeserver.h"
#include "support/upstreamserver.h"
#include "transport/clock.h"
#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#define SOAK_GATEWAYS  4
#define SOAK_UPSTREAMS 4
#define SOAK_CLIENTS   24
#define SOAK_LINKS     (SOAK_GATEWAYS + SOAK_UPSTREAMS) /**< via the relay */
#define SOAK_KEYS_MAX  64 /**< limit of API keys used in a run */
#define SOAK_ID_SIZE   24 /**< bytes */

/* Time limits that the gateways must keep. */
#define SOAK_SETTLE_MS   4000  /**< undisturbed time before they apply */
#define SOAK_CONFIG_MS   3000  /**< until a change takes effect */
#define SOAK_REGRESS_MS  250   /**< an older version may still apply */
#define SOAK_WITHDRAW_MS 2000  /**< until a withdrawn upstream is unused */
#define SOAK_CANCEL_MS   500   /**< until a disconnect takes effect */
#define SOAK_ROUTE_MS    600   /**< route timeout that storeseed.c writes */
#define SOAK_MARGIN_MS   500   /**< for a response after the timeout */
#define SOAK_RECOVER_MS  15000 /**< until all gateways serve again */
#define SOAK_SERVED_MS   2000  /**< age of the last success, at most */

/* Retry budget: allowance plus ratio of the requests; same as in soak.sh. */
#define SOAK_RETRY_WINDOW_S  10
#define SOAK_RETRY_ALLOWANCE 5
#define SOAK_RETRY_RATIO     0.02

/* What upstreams say of themselves. */
#define SOAK_NOTICE_MS       500  /**< until a gateway heeds it */
#define SOAK_LIMIT_MAX       4    /**< requests a second */
#define SOAK_LIMIT_WINDOW_MS 4000 /**< one and a half times the limit, and */
#define SOAK_LIMIT_BURST     5    /**< these */
#define SOAK_PAUSE_MS        2000
#define SOAK_PAUSE_ARRIVALS  2 /**< allowed of each gateway */

/** Kinds of routes. */
enum soak_kind
{
  SOAK_KIND_IDEMPOTENT,
  SOAK_KIND_ONCE, /**< not idempotent */
  SOAK_KIND_STREAM,
  SOAK_KIND_RESUME,
  SOAK_KIND_MAX
};

/** Invariants; violations are counted for each of them. */
enum soak_invariant
{
  SOAK_VALID_RESPONSE, /**< complete, signed, for this request */
  SOAK_AT_MOST_ONCE,
  SOAK_REFUSED_NOT_RUN,
  SOAK_RESPONSE_SENT, /**< a forwarded request gets a response */
  SOAK_RESPONSE_IN_TIME,
  SOAK_CHANGE_IN_TIME,
  SOAK_NO_REGRESSION,
  SOAK_NO_FALSE_DENIAL,
  SOAK_INVALID_REFUSED, /**< an invalid request gets 400 */
  SOAK_NO_FOREIGN_DATA, /**< upstreams get client requests, no API keys */
  SOAK_WITHDRAWN_UNUSED,
  SOAK_DISCONNECT_CANCELS,
  SOAK_RETRY_BUDGET,
  SOAK_NO_EXTRA_BYTES,
  SOAK_LIMIT_KEPT,
  SOAK_PAUSE_KEPT,
  SOAK_ALL_RECOVERED,
  SOAK_INVARIANT_MAX
};

/** How a client writes a request. */
struct soak_form
{
  const char *name; /**< for the counts */
  uint32_t percent; /**< of the requests */
  const char *method;
  const char *header; /**< additional one with CRLF, or "" */
  bool invalid;       /**< gets 400 and reaches no upstream */
};

#define SOAK_FORMS 5
extern const struct soak_form soak_forms[SOAK_FORMS];

struct soak_request
{
  char id[SOAK_ID_SIZE];
  enum soak_kind kind;
  const struct soak_form *form;
  uint32_t gateway;
  uint32_t key; /**< number of the API key in the request */
  uint64_t sent_ns;
  uint64_t disconnected_ns; /**< when its client disconnected; 0: it did not */
  uint32_t arrivals;        /**< times that it arrived at an upstream */
  uint32_t runs;            /**< arrivals that an upstream did not reject */
  bool faulted;    /**< an upstream injected a fault into its response */
  bool refused;    /**< the client got a status that means not run */
  uint16_t status; /**< of the response; 0: none */
  UT_hash_handle hh;
};

/** Active disturbances of a component.  Time limits apply only after it was
    undisturbed for SOAK_SETTLE_MS. */
struct soak_disturbance
{
  uint32_t active;
  uint64_t last_end_ns; /**< when the last one ended */
};

struct soak_gateway
{
  uint16_t port;
  bool up;
  bool suspended;
  bool draining;
  uint32_t incarnation;
  uint32_t key_seen; /**< newest key that this process accepted */
  uint64_t key_seen_ns;
  uint64_t restarted_ns;               /**< started, or resumed by SIGCONT */
  struct soak_disturbance disturbance; /**< of its link to the store */
  uint64_t served;
  uint64_t served_ns; /**< time of the last success */
};

/** What an upstream says in its responses: a limit for all gateways, or that
    it wants nothing for SOAK_PAUSE_MS. */
struct soak_notice
{
  uint64_t begun_ns;    /**< 0: nothing */
  uint32_t limit_per_s; /**< 0: it wants nothing */
  char header[48];
  /** When each gateway was told (0: not), and its arrivals since. */
  uint64_t told_ns[SOAK_GATEWAYS];
  uint32_t arrivals[SOAK_GATEWAYS];
  /** Last arrivals that count for the limit, a ring. */
  uint64_t counted_ns[SOAK_LIMIT_MAX * 6 + SOAK_LIMIT_BURST];
  uint64_t counted;
};

struct soak_upstream
{
  struct upstreamserver server;
  /** How a fault makes it respond.  A reset takes place before the response or
      within one without a length; for a stream, within it. */
  enum upstreamserver_behaviour behaviour;
  uint32_t permille;     /**< share of requests that the fault affects */
  uint64_t withdrawn_ns; /**< time of withdrawal; 0: in service */
  struct soak_notice notice;
};

struct soak_client
{
  struct platclient link;
  bool open;
  bool kept; /**< open after a response that did not announce its end */
  uint32_t gateway;
  uint32_t incarnation;         /**< of the gateway at connect time */
  struct soak_request *request; /**< in flight; NULL: idle */
  uint64_t next_ns;             /**< earliest time of the next action */
  uint64_t disconnect_ns;       /**< when to disconnect early; 0: never */
};

/** Requests and retries in one second of the run. */
struct soak_second
{
  uint32_t requests;
  uint32_t retries;
};

struct soak
{
  struct event_base *base;
  struct clock clock;
  struct rng rng;          /**< for clients and upstreams */
  struct rng schedule_rng; /**< separate: a seed gives the same faults */
  struct rng notice_rng;
  struct rng silence_rng;
  uint64_t start_ns;
  uint64_t faults_end_ns; /**< no faults after this time */
  uint64_t end_ns;
  struct storeserver store;
  struct soak_disturbance store_disturbance;
  /** Of links between gateways and upstreams. */
  struct soak_disturbance links_disturbance;
  uint16_t links[SOAK_LINKS];
  struct soak_upstream upstreams[SOAK_UPSTREAMS];
  struct soak_gateway gateways[SOAK_GATEWAYS];
  struct soak_client clients[SOAK_CLIENTS];
  struct soak_request *requests;
  struct soak_second *seconds;
  uint32_t second_count;
  uint32_t key; /**< number of the newest API key */
  uint64_t key_ns[SOAK_KEYS_MAX];
  uint64_t sent;
  uint64_t answered;
  uint64_t served;
  uint32_t unframed_resets; /**< responses without a length, reset */
  uint32_t silences;        /**< of the store */
  uint32_t violations[SOAK_INVARIANT_MAX];
  struct soak_fault_end *fault_ends; /**< private to schedule.c */
  uint64_t next_fault_ns;
  uint64_t next_notice_ns;
  bool link_faulty[SOAK_LINKS];
};

/* main.c */
uint64_t soak_now_ns (const struct soak *soak);
/** True if more than `duration_ms` has passed since `moment_ns`. */
bool soak_elapsed (const struct soak *soak, uint64_t moment_ns,
                   uint32_t duration_ms);

/** True if there was no disturbance for SOAK_SETTLE_MS. */
bool soak_undisturbed (const struct soak *soak,
                       const struct soak_disturbance *disturbance);

/* check.c */
/** Counts and logs a violation. */
void soak_report_violation (struct soak *soak, enum soak_invariant invariant,
                            const struct soak_request *request,
                            const char *detail);
/** Checks a request that arrived at an upstream, and draws the upstream's
    behaviour for it. */
void soak_check_arrival (struct upstreamserver *server, const char *message);
/** Checks a complete response, or a connection that was closed. */
void soak_check_response (struct soak *soak, struct soak_client *client);
/** Checks retry budget and recovery at the end of the run. */
void soak_check_end (struct soak *soak);
const char *soak_invariant_name (enum soak_invariant invariant);

/* client.c */
void soak_client_run (struct soak *soak, struct soak_client *client);
void soak_client_close (struct soak_client *client);

/* schedule.c */
/** Ends the faults that are due and starts the next one. */
void soak_schedule_run (struct soak *soak);
void soak_schedule_finish (struct soak *soak);
/** Writes the first configuration and registers each upstream. */
void soak_schedule_set_up (struct soak *soak);

#endif

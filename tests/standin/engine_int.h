/**
 * @file engine_int.h
 * Private declarations of the stand-in engine.
 */
#ifndef TESTS_STANDIN_ENGINE_INT_H
#define TESTS_STANDIN_ENGINE_INT_H

#include "standin/body.h"
#include "standin/standin.h"

enum engine_job_state
{
  ENGINE_JOB_ARRIVED,
  ENGINE_JOB_WAITING,
  ENGINE_JOB_RUNNING,
  ENGINE_JOB_STATE_MAX
};

/** A request at a worker. */
struct engine_job
{
  struct exchange exchange;
  struct engine_worker *worker;
  struct record_customer *customer;
  struct event *delay_timer; /**< for FAULT_DELAY */
  struct body_spec body;
  enum engine_job_state state;
  bool streamed;
  uint32_t produced;      /**< tokens, including those before a resume */
  uint64_t resumed_bytes; /**< offset at which a resumed response starts */
  uint64_t skip_bytes;    /**< to drop from the start of the first event */
  uint64_t started_ns;
  struct engine_job *prev;
  struct engine_job *next;
};

/** A simulated engine behind one listener. */
struct engine_worker
{
  struct engine *engine;
  struct server_listener *listener;
  struct event *tick;
  struct engine_job *running;
  struct engine_job *waiting; /**< FIFO */
  uint32_t busy;              /**< slots in use */
  uint32_t reported_running;  /**< `busy` at the last load report */
  uint64_t skipped_ticks;     /**< by FAULT_SLOW since tokens were last
                                 produced */
};

struct engine
{
  struct server *server;
  struct standin_options options;
  struct event *load_timer;
  struct evbuffer *scratch; /**< empty between uses */
};

/** Parses a completion request into `job`. @return 0 or -1. */
int engine_parse (struct engine_job *job, struct evhttp_request *request);

#endif

/**
 * @file engine_int.h
 * Private parts of the stand-in engine.
 */
#ifndef TESTS_STANDIN_ENGINE_INT_H
#define TESTS_STANDIN_ENGINE_INT_H

#include "standin/standin.h"
#include "standin/text.h"

enum engine_job_state
{
  ENGINE_JOB_ARRIVED,
  ENGINE_JOB_WAITING,
  ENGINE_JOB_RUNNING,
  ENGINE_JOB_STATE_MAX
};

/** One request at a worker. */
struct engine_job
{
  struct exchange exchange;
  struct engine_worker *worker;
  struct record_customer *customer;
  struct event *delay; /**< of a fault */
  struct text_spec text;
  enum engine_job_state state;
  bool streamed;
  uint32_t produced;      /**< tokens, counted from the first */
  uint64_t resumed_bytes; /**< offset at which the response resumes */
  uint64_t skip_bytes;    /**< of the first event sent */
  uint64_t started_ns;
  struct engine_job *prev;
  struct engine_job *next;
};

struct engine_worker
{
  struct engine *engine;
  struct server_listener *listener;
  struct event *tick;
  struct engine_job *running;
  struct engine_job *waiting;
  uint32_t busy;
  uint32_t reported_running; /**< as of the last lagging report */
  uint64_t skipped;          /**< ticks passed over while slow */
};

struct engine
{
  struct server *server;
  struct standin_options options;
  struct event *load_timer;
  struct evbuffer *scratch;
};

/** Fills what the request asks for. @return 0 or -1. */
int engine_parse (struct engine_job *job, struct evhttp_request *request);

#endif

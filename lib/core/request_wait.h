#pragma once

#include <stdint.h>

/*
 * How long a flow that has just opened counts as work of its upstream before it brings its first request. A
 * caller that is alive sends the request a round trip after the SYN-ACK. One that has given up never does:
 * after the loss of many processes there are many callers with old SYNs, whose flows would fill all positions
 * of an idle upstream if they counted for long.
 *
 * The wait is the mean of the times that callers took plus four times their mean deviation, as for the
 * retransmission timer of TCP (RFC 6298). No I/O; times are passed in.
 */

enum
{
  OH_REQUEST_WAIT_INITIAL_MS = 100, /* before the first request */
  OH_REQUEST_WAIT_MIN_MS = 20,      /* scheduling delays of callers and balancers */
  OH_REQUEST_WAIT_MAX_MS = 300,
};

typedef struct
{
  int64_t mean_us; /* 0: no request yet */
  int64_t deviation_us;
} oh_request_wait_t;

void oh_request_wait_init (oh_request_wait_t *wait);

/* The first request of a flow came this long after the flow's SYN was delivered. */
void oh_request_wait_observe (oh_request_wait_t *wait, int64_t elapsed_us);

/* Time after the delivery of a SYN for which the flow counts as work. */
int64_t oh_request_wait_us (const oh_request_wait_t *wait);

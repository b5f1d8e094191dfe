#pragma once

#include <stdbool.h>

/*
 * Which balancers an agent reports its load to. Each of hundreds of agents reports to each balancer, so that
 * reports grow with the square of the fleet. Balancers place flows at home while there is room (locality.h),
 * so those of the agent's own zone get every report, and the others one in several.
 */

enum
{
  OH_LOAD_REPORTS_REMOTE_MAX = 8, /* balancers of other zones that are sent the same report */
  OH_LOAD_REPORTS_PARTS_MAX = 6,  /* greatest number of reports between two to the same balancer */
};

/* True if the balancer at the index of the agent's list is sent this report. round counts the reports. */
bool oh_load_report_due (bool same_zone, unsigned index, unsigned n_remote, unsigned round);

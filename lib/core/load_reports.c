#include "core/load_reports.h"

#include <glib.h>

bool
oh_load_report_due (bool same_zone, unsigned index, unsigned n_remote, unsigned round)
{
  const unsigned parts = CLAMP ((n_remote + OH_LOAD_REPORTS_REMOTE_MAX - 1) / OH_LOAD_REPORTS_REMOTE_MAX, 1,
                                OH_LOAD_REPORTS_PARTS_MAX);

  return same_zone || index % parts == round % parts;
}

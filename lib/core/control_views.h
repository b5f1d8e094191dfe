#pragma once

#include "core/control_core.h"

/*
 * Views that a control replica sends to nodes. A view holds what the node has not been sent yet: changes of
 * the list of nodes after its cursor, and the text if the node has an older one. What is on its way to a node
 * is not sent again, so that a node behind a slow link, or one of hundreds that start at the same time, is
 * sent each entry and each text once.
 */

enum
{
  /* A text that a node does not report as in force by then is sent again. */
  OH_CONTROL_TEXT_RESEND_US = 2 * G_USEC_PER_SEC,
};

/* Answers the poll of a node, in the membership or not. */
void oh_control_views_answer (oh_control_core_t *core, GBytes *route, const Oh__Poll *poll);

/* Sends a view to every node, for instance since the version has changed. */
void oh_control_views_push (oh_control_core_t *core);

/* Sends views to the nodes that have not been sent all changes of the list. */
void oh_control_views_push_list (oh_control_core_t *core);

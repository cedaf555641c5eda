#ifndef LEAD_LEAD_H_
#define LEAD_LEAD_H_

#include "lead/follower_leases.h"
#include "lead/handover.h"
#include "lead/ownership.h"
#include "lead/store_contact.h"
#include "lead/suspension.h"

#endif  // LEAD_LEAD_H_

#ifndef LEAD_LEAD_H_
#define LEAD_LEAD_H_

#include "lead/ownership.h"
#include "lead/suspension.h"

#endif  // LEAD_LEAD_H_

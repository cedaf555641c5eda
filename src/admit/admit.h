#ifndef ADMIT_ADMIT_H_
#define ADMIT_ADMIT_H_

#include "admit/admission.h"
#include "admit/load_report.h"
#include "admit/waits.h"

#endif  // ADMIT_ADMIT_H_

#ifndef REVIEW_STANDIN_2_CASES_H_
#define REVIEW_STANDIN_2_CASES_H_

#include "review/standin-2/processes.h"

namespace review {

struct Setting {
  std::string program;
  std::string logs;  // folder for the processes' logs
  bool trouble = true;
  Record& record;
};

int PlayEnds(Setting& setting);
int PlayClaim(Setting& setting);
int PlayEject(Setting& setting);
int PlayLate(Setting& setting);

}  // namespace review

#endif  // REVIEW_STANDIN_2_CASES_H_

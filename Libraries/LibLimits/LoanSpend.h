#pragma once

#include <LibCore/Identifiers.h>
#include <LibLimits/LoanId.h>

namespace lycheeseam {

/// The tokens of one loan spent since the last report.
struct loan_spend
{
  loan_id mLoan;
  token_count mTokens = 0;

  bool operator==(loan_spend const&) const = default;
};

}

#pragma once

#include <LibLimits/StandingProbe.h>
#include <LibLimits/StandingWord.h>
#include <LibLimits/TokenGrant.h>
#include <LibLimits/TokenRefund.h>
#include <LibLimits/TokenReport.h>
#include <LibLimits/TokenRequest.h>

#include <variant>

namespace lycheeseam {

/// Any message between instances about budgets.
using budget_message = std::variant<token_request,
                                    token_grant,
                                    token_refund,
                                    token_report,
                                    standing_probe,
                                    standing_word>;

}

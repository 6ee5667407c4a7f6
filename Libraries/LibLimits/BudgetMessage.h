#pragma once

#include <LibLimits/QuorumAnswer.h>
#include <LibLimits/QuorumProbe.h>
#include <LibLimits/TokenGrant.h>
#include <LibLimits/TokenRefund.h>
#include <LibLimits/TokenReport.h>
#include <LibLimits/TokenRequest.h>

#include <variant>

namespace lycheeseam {

/// Any message between instances about token budgets.
using budget_message = std::variant<token_request,
                                    token_grant,
                                    token_refund,
                                    token_report,
                                    quorum_probe,
                                    quorum_answer>;

}

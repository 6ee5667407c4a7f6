#pragma once

#include <LibDispatch/ReadyInstance.h>
#include <LibDispatch/RequestProperties.h>
#include <LibGateway/SendParameters.h>
#include <LibGateway/ServerAnswer.h>
#include <LibHttp/AnswerHead.h>
#include <LibHttp/RequestHead.h>

#include <chrono>
#include <concepts>
#include <span>
#include <string>

namespace lycheeseam {

/// The header fields and formats that callers, backend servers and the gateway
/// use. All functions are static; ReadProperties throws invalid_input.
template<typename Dialect>
concept gateway_dialect = requires(request_head const& aHead,
                                   answer_head const& aAnswer,
                                   send_parameters const& aParameters,
                                   std::span<ready_instance const> aEntries,
                                   std::chrono::seconds aLifetime)
{
  {
    Dialect::ReadProperties(aHead)
    } -> std::same_as<request_properties>;
  {
    Dialect::ForwardedRequest(aHead, aParameters)
    } -> std::same_as<request_head>;
  {
    Dialect::ReadAnswer(aAnswer)
    } -> std::same_as<server_answer>;
  {
    Dialect::IsReadinessCheck(aHead)
    } -> std::same_as<bool>;
  {
    Dialect::IsAddressQuery(aHead)
    } -> std::same_as<bool>;
  {
    Dialect::FormatAddresses(aEntries, aLifetime)
    } -> std::same_as<std::string>;
};

}

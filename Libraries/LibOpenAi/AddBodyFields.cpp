#include <LibOpenAi/AddBodyFields.h>

#include <nlohmann/json.hpp>

#include <cassert>

namespace lycheeseam {

namespace {

// A field is spliced in before the closing brace: parsing and writing a long
// prompt again would cost more than the rest of its way. There it also wins
// over an earlier field of that name, such as a "max_tokens" of null.
std::string
AddField(std::string_view aBody, std::string_view aField)
{
  std::size_t const brace = aBody.rfind('}');
  assert(brace != std::string_view::npos);
  std::string body;
  body.reserve(aBody.size() + aField.size() + 1);
  body += aBody.substr(0, brace);
  body += ',';
  body += aField;
  body += aBody.substr(brace);
  return body;
}

}

std::string
AddMaxTokens(std::string_view aBody, token_count aLimit)
{
  return AddField(aBody, "\"max_tokens\":" + std::to_string(aLimit));
}

std::string
AddResumeFrom(std::string_view aBody, std::string_view aText)
{
  return AddField(aBody, "\"resume_from\":" + nlohmann::json(aText).dump());
}

}

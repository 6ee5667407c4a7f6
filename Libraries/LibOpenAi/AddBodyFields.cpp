#include <LibCore/Verify.h>
#include <LibOpenAi/AddBodyFields.h>

#include <nlohmann/json.hpp>

namespace lycheeseam {

namespace {

// Inserts the field before the closing brace. Parsing and formatting a long
// prompt again would cost more than all other work on the request. The last
// field of a name is the one that counts, so that this field also overrides an
// earlier one, such as a "max_tokens" of null.
std::string
AddField(std::string_view aBody, std::string_view aField)
{
  std::size_t const brace = aBody.rfind('}');
  VERIFY(brace != std::string_view::npos);
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

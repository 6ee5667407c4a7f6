#include <LibOpenAi/FormatModels.h>

#include <nlohmann/json.hpp>

#include <set>

namespace lycheeseam {

std::string
FormatModels(config_tables const& aTables)
{
  std::set<model_name> models;
  for (auto const& [name, entry] : aTables.mRoutes) {
    if (!entry.mRow.mModel.IsEmpty())
      models.insert(entry.mRow.mModel);
  }
  nlohmann::json data = nlohmann::json::array();
  for (model_name const& model : models) {
    data.push_back({ { "id", model.Text() },
                     { "object", "model" },
                     { "owned_by", "lycheeseam" } });
  }
  nlohmann::json const body{ { "object", "list" }, { "data", data } };
  return body.dump();
}

}

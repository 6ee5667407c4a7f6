#include "LuaRunner.h"

#include "LuaJson.h"
#include "ScenarioFailure.h"
#include "Verbs.h"

#include <exception>
#include <lua.hpp>

namespace lycheeseam {

namespace {

using nlohmann::json;

/// Runs a verb and pushes its result, or the message of its error.
bool
RunVerb(lua_State* aLua)
{
  try {
    scenario& running =
      *static_cast<scenario*>(lua_touserdata(aLua, lua_upvalueindex(1)));
    scenario_verb const& verb = *static_cast<scenario_verb const*>(
      lua_touserdata(aLua, lua_upvalueindex(2)));
    json arguments = json::array();
    for (int index = 1; index <= lua_gettop(aLua); ++index)
      arguments.push_back(LuaToJson(aLua, index));
    PushJson(aLua, verb.mRun(running, arguments));
    return true;
  } catch (std::exception const& problem) {
    lua_pushstring(aLua, problem.what());
    return false;
  }
}

int
CallVerb(lua_State* aLua)
{
  // lua_error uses longjmp; no object with a destructor may be alive here.
  if (RunVerb(aLua))
    return 1;
  luaL_where(aLua, 1);
  lua_insert(aLua, -2);
  lua_concat(aLua, 2);
  return lua_error(aLua);
}

int
AddTrace(lua_State* aLua)
{
  luaL_traceback(aLua, aLua, lua_tostring(aLua, 1), 1);
  return 1;
}

void
Define(lua_State* aLua,
       scenario& aScenario,
       std::span<scenario_verb const> aVerbs)
{
  for (scenario_verb const& verb : aVerbs) {
    lua_pushlightuserdata(aLua, &aScenario);
    lua_pushlightuserdata(aLua, const_cast<scenario_verb*>(&verb));
    lua_pushcclosure(aLua, &CallVerb, 2);
    lua_setglobal(aLua, verb.mName);
  }
}

}

lua_runner::lua_runner(scenario& aScenario)
  : mLua(luaL_newstate())
{
  luaL_openlibs(mLua.get());
  Define(mLua.get(), aScenario, ProcessVerbs());
  Define(mLua.get(), aScenario, NetworkVerbs());
  Define(mLua.get(), aScenario, HttpVerbs());
}

void
lua_runner::Run(std::filesystem::path const& aFile)
{
  lua_State* const lua = mLua.get();
  lua_pushcfunction(lua, &AddTrace);
  bool const failed = luaL_loadfile(lua, aFile.c_str()) != LUA_OK ||
                      lua_pcall(lua, 0, 0, -2) != LUA_OK;
  if (!failed)
    return lua_settop(lua, 0);
  std::string const message = lua_tostring(lua, -1);
  lua_settop(lua, 0);
  throw scenario_failure(message);
}

void
lua_runner::state_close::operator()(lua_State* aLua) const
{
  lua_close(aLua);
}

}

-- Many callers' streams through one router: whole, in order, uncrossed, while
-- others hang up halfway and come back on new connections.
local platform = start_platform()
local engines = {
  start_engine("engine-1", { tokens_per_second = 300 }),
  start_engine("engine-2", { tokens_per_second = 300 }),
}
local service = start_service("service-1")
put_usual_rows(platform, engines, { service })
local router = start_router("router-1", platform)
wait_until_serves(router, "/stock", "key-1")

local kept, dropped = {}, {}
for index = 1, 60 do
  kept[index] = begin(ask_chat(router, "kept-" .. index, "key-1", { max_tokens = 40 }))
  if index % 2 == 0 then
    dropped[#dropped + 1] =
      begin(ask_chat(router, "dropped-" .. index, "key-1", { max_tokens = 100000 }))
  end
end
for _, call in ipairs(dropped) do
  wait_for_tokens(call, 2)
  drop(call)
  finish(call)
end
local again = {}
for index = 1, 30 do
  again[index] = begin(ask_chat(router, "again-" .. index, "key-1", { max_tokens = 40 }))
end
for index, call in ipairs(kept) do
  expect_whole_stream(finish(call), "kept-" .. index, 40)
end
for index, call in ipairs(again) do
  expect_whole_stream(finish(call), "again-" .. index, 40)
end
wait_until("the engines have cancelled what was dropped", function()
  return counts(engines[1]).cancelled + counts(engines[2]).cancelled == #dropped
end)
for _, engine in ipairs(engines) do
  expect_equal(counts(engine).authorization_headers, 0, "keys seen by " .. engine.name)
end
expect_equal(counts(service).authorization_headers, 0, "keys seen by the service")

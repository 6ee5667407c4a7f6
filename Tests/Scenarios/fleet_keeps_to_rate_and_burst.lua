-- One workspace asks for many times its rate over three routers: together they
-- let through no more than its burst and its rate, and a refusal is "not run".
local platform = start_platform()
local engine = start_engine("engine-1", { tokens_per_second = 2000, slowdown_per_stream = 0 })
local service = start_service("service-1")
put_usual_rows(platform, { engine }, { service })
local RATE, BURST = 100, 1000
put_rows(platform, { workspace_row("greedy", { rate = RATE, burst = BURST }), key_row("key-greedy", "greedy") })
local routers = {}
for index = 1, 3 do
  routers[index] = start_router("router-" .. index, platform, { peers = array { routers[index - 1] } })
end
for _, router in ipairs(routers) do
  wait_until_serves(router, "/stock", "key-1")
end
local started = now_ms()
local spent, refused = 0, 0
for round = 1, 3 do
  local requests = {}
  for index = 1, 30 do
    requests[index] = ask_chat(routers[index % 3 + 1], "greedy-" .. round .. "-" .. index,
      "key-greedy", { max_tokens = 50, stream = false })
  end
  for _, answer in ipairs(send_all(requests)) do
    if answer.status == 200 then
      spent = spent + answer.json.usage.total_tokens
    else
      refused = refused + 1
      expect_equal(answer.status, 429, "status of a refusal " .. answer.body)
      expect_equal(header(answer, "Lycheeseam-Verdict"), "not_run", "verdict of a refusal")
    end
  end
end
local seconds = (now_ms() - started) / 1000
expect(spent <= BURST + RATE * seconds, "at most burst and rate, not " .. spent .. " tokens in " .. seconds .. " s")
expect(refused > 0, "something is refused")
expect(spent > 0, "something is served")

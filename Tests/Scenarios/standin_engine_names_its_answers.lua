-- Many concurrent streams with distinct names: each is complete, in order, and
-- has the text that belongs to its request.
local engine = start_engine("engine-1", { tokens_per_second = 400 })
local requests = {}
for index = 1, 50 do
  requests[index] = chat(engine.url, "call-" .. index, { max_tokens = 20 })
end
for index, answer in ipairs(send_all(requests)) do
  expect_complete_stream(answer, "call-" .. index, 20)
end
expect_equal(counts(engine).finished, 50, "answers finished")

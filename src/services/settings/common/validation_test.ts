import test from "ava";
import { TEST_CONFIGURATION } from "../../../../test/harness/configuration.ts";
import { SettingsError } from "./settings_text.ts";
import { parseConfiguration } from "./validation.ts";

function faultsOf(text: string) {
  try {
    parseConfiguration(text, "cfg.jsonc");
    return [];
  } catch (err) {
    return err instanceof SettingsError ? err.faults : [];
  }
}

test("a fault names its place, what was found and what is allowed", (t) => {
  const text = JSON.stringify(TEST_CONFIGURATION, undefined, 2).replace(
    '"maxQueueMs": 2000',
    '"maxQueueMs": -1',
  );
  const [fault] = faultsOf(text);
  t.is(fault.key, "presets.peak.maxQueueMs");
  t.is(fault.found, "-1");
  t.is(fault.allowed, "integer from 1 to 600000");
  t.is(text.split("\n")[fault.line - 1].slice(fault.column - 1), "-1");
});

test("unknown keys, missing keys and unknown presets are faults", (t) => {
  t.is(faultsOf(JSON.stringify({ ...TEST_CONFIGURATION, extra: 1 }))[0].key, "extra");
  t.is(faultsOf(JSON.stringify({ ...TEST_CONFIGURATION, models: undefined }))[0].key, "models");
  t.is(
    faultsOf(JSON.stringify({ ...TEST_CONFIGURATION, activePreset: "none" }))[0].allowed,
    "one of ordinary, peak",
  );
  t.is(faultsOf("{ nonsense").length > 0, true);
});

test("comments are allowed and defaults are filled in", (t) => {
  const cfg = parseConfiguration(`// a comment\n${JSON.stringify(TEST_CONFIGURATION)}`, "cfg.jsonc");
  t.is(cfg.presets.ordinary.maxQueueMs, 20_000);
  t.is(cfg.placement.loadsAtOnce, 2);
});

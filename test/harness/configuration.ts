/** Default configuration for tests. */
export const TEST_CONFIGURATION = {
  deployment: "test",
  activePreset: "ordinary",
  presets: { ordinary: {}, peak: { maxQueueMs: 2000 } },
  programKinds: {
    quick: { class: 3, idleMs: 600_000 },
    long: { class: 1, idleMs: 600_000 },
    brief: { class: 3, idleMs: 2000 },
  },
  customers: {},
  models: { m: {} },
  services: {
    api: {
      operations: {
        read: { repeatable: true, timeoutMs: 2000 },
        act: { repeatable: false, timeoutMs: 2000 },
      },
    },
  },
};

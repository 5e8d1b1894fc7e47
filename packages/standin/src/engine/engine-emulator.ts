import { Notifier, Random, type Clock } from '@canvasridge/clock';
import type { AdapterRef, EngineOrder, EngineOrderReply, EngineReport } from '@canvasridge/domain';
import { adapterVersionKey, formatModelName } from '@canvasridge/domain';
import type { WeightStoreEmulator } from '../platform/weight-store-emulator.js';
import { EngineRecord } from './engine-record.js';
import type { EngineBehaviour, EngineIdentity } from './engine-settings.js';
import { PrefixCache, type CacheEvent } from './prefix-cache.js';
import { BLOCK_TOKENS, countPromptTokens, prefixBlocks, promptHash } from './prompt.js';
import { Sequence, type SequenceListener } from './sequence.js';
import { SlotTable } from './slot-table.js';

/** A generation request as the engine receives it. */
export interface SubmittedRequest {
  readonly requestId: string;
  readonly model: AdapterRef;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly priority: number;
  readonly fence: number;
}

/** Why an engine refused a generation request. */
export type SubmitRefusal =
  | { readonly kind: 'stale-fence'; readonly currentFence: number }
  | { readonly kind: 'adapter-not-loaded' }
  | { readonly kind: 'full' }
  | { readonly kind: 'draining' };

/**
 * Beyond this number of generations, ended ones are forgotten, oldest first, and can no longer be resumed.
 */
const MAX_KEPT_SEQUENCES = 512;

/**
 * Emulates a model engine with continuous batching: each step processes prompt tokens up to a limit and
 * produces one token for each running generation whose prompt is done. Holds adapters in slots, checks
 * fencing tokens if `checksFence` is set, and reports its state with a lag.
 */
export class EngineEmulator {
  readonly identity: EngineIdentity;
  readonly behaviour: EngineBehaviour;
  readonly record = new EngineRecord();
  readonly #clock: Clock;
  readonly #weightStore: WeightStoreEmulator;
  readonly #random: Random;
  readonly #workAvailable = new Notifier();
  #incarnation = 0;
  #slots: SlotTable;
  #cache: PrefixCache;
  #sequences = new Map<string, Sequence>();
  #waiting: Sequence[] = [];
  #running: Sequence[] = [];
  /** Adapters that got a request since they were loaded, to count the loads that served none. */
  #usedAdapters = new Set<string>();
  #fence = 0;
  #holder = '';
  #renewedAtMs = 0;
  #leaseUntilMs = 0;
  #role: 'serve' | 'drain' = 'serve';
  #snapshots: { atMs: number; report: EngineReport }[] = [];
  #reachable = true;

  constructor(
    identity: EngineIdentity,
    behaviour: EngineBehaviour,
    weightStore: WeightStoreEmulator,
    clock: Clock,
    seed: number,
  ) {
    this.identity = identity;
    this.behaviour = { ...behaviour };
    this.#clock = clock;
    this.#weightStore = weightStore;
    this.#random = Random.derive(seed, identity.id);
    this.#slots = new SlotTable(identity.slots);
    this.#cache = this.#createCache();
    void this.#stepLoop();
    this.#scheduleSnapshot();
  }

  get incarnation(): string {
    return `${this.identity.id}.${this.#incarnation}`;
  }

  /** Whether the engine responds at all; false emulates an outage. */
  get reachable(): boolean {
    return this.#reachable;
  }

  set reachable(value: boolean) {
    this.#reachable = value;
  }

  /** Accepts a generation, or returns why it was refused; a refused one is never run. */
  submit(request: SubmittedRequest): Sequence | SubmitRefusal {
    if (this.identity.checksFence && request.fence !== this.#fence) {
      this.record.staleRefusals += 1;
      return { kind: 'stale-fence', currentFence: this.#fence };
    }
    const key = adapterVersionKey(request.model);
    if (request.model.base !== this.identity.base || !this.#slots.isLoaded(key)) {
      return { kind: 'adapter-not-loaded' };
    }
    if (this.#role === 'drain') return { kind: 'draining' };
    if (this.#waiting.length >= this.behaviour.queueLimit) return { kind: 'full' };
    const sequence = this.#createSequence(request, key);
    this.#accept(sequence);
    return sequence;
  }

  find(requestId: string): Sequence | undefined {
    return this.#sequences.get(requestId);
  }

  /** Returns false if the generation is unknown or has ended. */
  cancel(requestId: string): boolean {
    const sequence = this.#sequences.get(requestId);
    if (sequence === undefined || sequence.state === 'done') return false;
    sequence.state = 'cancelled';
    return true;
  }

  /** Records that the reader of a generation disconnected. The generation goes on for `resumeWindowMs`. */
  detach(sequence: Sequence, listener: SequenceListener): void {
    sequence.detach(listener, this.#clock.now());
  }

  /** Executes an order, unless its fencing token is stale. */
  async order(fence: number, order: EngineOrder): Promise<EngineOrderReply> {
    if (order.kind === 'claim') return this.#claim(fence, order.holder, order.leaseMs);
    if (this.identity.checksFence && fence !== this.#fence) return this.#reply('stale-fence');
    switch (order.kind) {
      case 'renew':
        this.#renewLease(order.holder, order.leaseMs);
        return this.#reply('done');
      case 'load':
        return this.#load(adapterVersionKey(order));
      case 'unload':
        return this.#unload(adapterVersionKey(order));
      case 'role':
        this.#role = order.role;
        return this.#reply('done');
    }
  }

  /** Returns the newest snapshot that is at least `reportLagMs` old, or the oldest one if all are younger. */
  report(): EngineReport {
    const nowMs = this.#clock.now();
    const latestAllowedMs = nowMs - this.behaviour.reportLagMs;
    const entry =
      this.#snapshots.findLast((snapshot) => snapshot.atMs <= latestAllowedMs) ?? this.#snapshots[0];
    if (entry === undefined) return this.#snapshot();
    return { ...entry.report, snapshotAgeMs: nowMs - entry.atMs };
  }

  /** Prefix cache events with a higher sequence number, published after `cacheEventLagMs`. */
  cacheEvents(afterSequence: number): readonly CacheEvent[] {
    return this.#cache.eventsAfter(afterSequence, this.#clock.now() - this.behaviour.cacheEventLagMs);
  }

  exportCache(): readonly number[] {
    return this.#cache.cachedBlocks();
  }

  importCache(blocks: readonly number[]): void {
    this.#cache.store(blocks, this.#clock.now());
  }

  /** Drops all adapters, cached prefixes, generations and the fence, as a restart of the process does. */
  restart(): void {
    this.#incarnation += 1;
    for (const sequence of [...this.#running, ...this.#waiting]) sequence.break('the engine restarted');
    this.#slots = new SlotTable(this.identity.slots);
    this.#cache = this.#createCache();
    this.#sequences = new Map();
    this.#waiting = [];
    this.#running = [];
    this.#usedAdapters = new Set();
    this.#fence = 0;
    this.#holder = '';
    this.#leaseUntilMs = 0;
    this.#role = 'serve';
    this.#snapshots = [];
  }

  #createCache(): PrefixCache {
    return new PrefixCache(
      this.behaviour.prefixCacheBlocks,
      this.#random,
      () => this.behaviour.cacheEventLoss,
    );
  }

  #createSequence(request: SubmittedRequest, key: string): Sequence {
    const model = formatModelName(request.model);
    const blocks = prefixBlocks(key, request.prompt);
    const cachedTokens = this.#cache.countHits(blocks) * BLOCK_TOKENS;
    return new Sequence({
      requestId: request.requestId,
      model,
      adapterKey: key,
      promptHash: promptHash(model, request.prompt),
      promptTokens: Math.max(1, countPromptTokens(request.prompt) - cachedTokens),
      totalTokens: Math.max(1, request.maxTokens),
      priority: request.priority,
      blocks,
    });
  }

  #accept(sequence: Sequence): void {
    this.record.executions.push({
      requestId: sequence.requestId,
      model: sequence.model,
      atMs: this.#clock.now(),
    });
    this.#sequences.set(sequence.requestId, sequence);
    this.#evictEndedSequences();
    this.#slots.adjustRunning(sequence.adapterKey, 1);
    this.#usedAdapters.add(sequence.adapterKey);
    const position = this.#waiting.findIndex((other) => other.priority < sequence.priority);
    if (position === -1) this.#waiting.push(sequence);
    else this.#waiting.splice(position, 0, sequence);
    this.#workAvailable.notify();
  }

  #evictEndedSequences(): void {
    if (this.#sequences.size <= MAX_KEPT_SEQUENCES) return;
    for (const [requestId, sequence] of this.#sequences) {
      if (sequence.state === 'waiting' || sequence.state === 'running') continue;
      this.#sequences.delete(requestId);
      if (this.#sequences.size <= MAX_KEPT_SEQUENCES) return;
    }
  }

  async #stepLoop(): Promise<void> {
    for (;;) {
      this.#fillBatch();
      if (this.#running.length === 0) {
        await this.#workAvailable.wait();
        continue;
      }
      const prefillTokens = this.#prefill();
      const stepMs =
        this.behaviour.stepBaseMs +
        this.behaviour.stepPerSequenceMs * this.#running.length +
        this.behaviour.prefillPerTokenMs * prefillTokens;
      this.record.steps += 1;
      this.record.sequenceSteps += this.#running.length;
      this.record.busyMs += stepMs;
      await this.#clock.sleep(stepMs);
      this.#decode();
    }
  }

  #fillBatch(): void {
    while (this.#running.length < this.identity.maxBatch) {
      const next = this.#waiting.shift();
      if (next === undefined) return;
      if (next.state === 'waiting') {
        next.state = 'running';
        this.#running.push(next);
      } else {
        this.#slots.adjustRunning(next.adapterKey, -1);
      }
    }
  }

  #prefill(): number {
    let budget = this.behaviour.prefillTokensPerStep;
    for (const sequence of this.#running) {
      const tokens = Math.min(budget, sequence.remainingPrefillTokens);
      sequence.remainingPrefillTokens -= tokens;
      budget -= tokens;
      if (budget === 0) break;
    }
    return this.behaviour.prefillTokensPerStep - budget;
  }

  #decode(): void {
    const nowMs = this.#clock.now();
    const batch = this.#running;
    for (const sequence of batch) {
      if (sequence.state !== 'running') continue;
      if (this.#isAbandoned(sequence, nowMs)) sequence.state = 'cancelled';
      else if (sequence.remainingPrefillTokens === 0) sequence.produceToken();
    }
    // A restart of the engine during the loop replaced lists, slots and cache: nothing of this batch is left
    // to update.
    if (batch !== this.#running) return;
    this.#running = batch.filter((sequence) => sequence.state === 'running');
    for (const sequence of batch) {
      if (sequence.state === 'running') continue;
      this.#slots.adjustRunning(sequence.adapterKey, -1);
      this.#cache.store(sequence.blocks, nowMs);
    }
  }

  #isAbandoned(sequence: Sequence, nowMs: number): boolean {
    return (
      sequence.detachedAtMs !== undefined && nowMs - sequence.detachedAtMs > this.behaviour.resumeWindowMs
    );
  }

  #claim(fence: number, holder: string, leaseMs: number): EngineOrderReply {
    if (this.identity.checksFence && fence <= this.#fence) return this.#reply('stale-fence');
    this.#fence = Math.max(fence, this.#fence);
    this.#renewLease(holder, leaseMs);
    return this.#reply('done');
  }

  #renewLease(holder: string, leaseMs: number): void {
    this.#holder = holder;
    this.#renewedAtMs = this.#clock.now();
    this.#leaseUntilMs = this.#renewedAtMs + leaseMs;
  }

  async #load(key: string): Promise<EngineOrderReply> {
    if (this.#slots.isLoaded(key)) return this.#reply('done');
    if (this.#slots.has(key)) return this.#reply('failed', 'already loading');
    if (this.#slots.isFull) return this.#reply('failed', 'no free slot');
    const slots = this.#slots;
    slots.beginLoad(key);
    this.record.loads += 1;
    await this.#weightStore.fetch();
    await this.#clock.sleep(this.behaviour.attachMs);
    if (slots !== this.#slots) return this.#reply('failed', 'the engine restarted');
    if (this.#random.next() < this.behaviour.loadFailureShare) {
      slots.remove(key);
      this.record.failedLoads += 1;
      return this.#reply('failed', 'the weights could not be read');
    }
    slots.finishLoad(key);
    this.#usedAdapters.delete(key);
    return this.#reply('done');
  }

  #unload(key: string): EngineOrderReply {
    if (!this.#slots.isLoaded(key)) return this.#reply('done');
    if (this.#slots.runningCount(key) > 0) this.#breakSequencesOf(key);
    this.#slots.remove(key);
    this.record.unloads += 1;
    if (!this.#usedAdapters.has(key)) this.record.wastedLoads += 1;
    return this.#reply('done');
  }

  #breakSequencesOf(key: string): void {
    this.record.unloadedWhileRunning.push({ adapter: key, atMs: this.#clock.now(), by: this.#holder });
    for (const sequence of [...this.#running, ...this.#waiting]) {
      if (sequence.adapterKey !== key) continue;
      if (sequence.state === 'running' || sequence.state === 'waiting')
        sequence.break('its adapter was unloaded');
    }
  }

  #reply(kind: 'done' | 'stale-fence'): EngineOrderReply;
  #reply(kind: 'failed', detail: string): EngineOrderReply;
  #reply(kind: EngineOrderReply['kind'], detail = ''): EngineOrderReply {
    const state = { fence: this.#fence, incarnation: this.incarnation };
    return kind === 'failed' ? { kind, ...state, detail } : { kind, ...state };
  }

  #scheduleSnapshot(): void {
    this.#clock.setTimer(this.behaviour.reportIntervalMs, () => {
      this.#takeSnapshot();
      this.#scheduleSnapshot();
    });
  }

  #takeSnapshot(): void {
    const nowMs = this.#clock.now();
    this.#snapshots.push({ atMs: nowMs, report: this.#snapshot() });
    const oldestKeptMs = nowMs - this.behaviour.reportLagMs - 2 * this.behaviour.reportIntervalMs;
    while ((this.#snapshots[0]?.atMs ?? nowMs) < oldestKeptMs) this.#snapshots.shift();
  }

  #snapshot(): EngineReport {
    const nowMs = this.#clock.now();
    const reportsFence = this.identity.checksFence;
    return {
      engineId: this.identity.id,
      incarnation: this.incarnation,
      snapshotAgeMs: 0,
      fence: reportsFence ? this.#fence : 0,
      holder: reportsFence ? this.#holder : '',
      renewedAgoMs: reportsFence ? nowMs - this.#renewedAtMs : 0,
      leaseLeftMs: reportsFence ? this.#leaseUntilMs - nowMs : 0,
      running: this.#running.length,
      queued: this.#waiting.length,
      adapters: this.#slots.loadedAdapters().map(({ key, running }) => {
        const at = key.lastIndexOf('@');
        return { adapter: key.slice(0, at), version: key.slice(at + 1), running };
      }),
    };
  }
}

/**
 * Compares three strategies for enforcing a quota over all nodes, with the same requests in virtual time.
 * Callers send to only some of the nodes, the demand of a subject jumps to six times its value, and the home
 * node is killed, a third of the nodes is cut off, or all nodes restart. In a window of eight seconds, at
 * most a quarter more than rate and burst may run, and requests below the limit must not be refused.
 *
 * The product uses loans of a home node, which pass. Even shares refuse most of what is allowed if callers
 * use only some nodes. Shares by demand admit up to twice the rate while nodes have not heard of each other's
 * demand or of a jump.
 */
import test from 'ava';
import { QuotaSimulation, type SimulationResult, type Fault, type Strategy } from './quota-simulation.js';

const STRATEGIES: readonly Strategy[] = ['even shares', 'shares by demand', 'loans of a home'];
const FAULTS: readonly Fault[] = ['none', 'home killed', 'a third cut off', 'all restarted'];
const SIZES: readonly (readonly [nodes: number, targets: number])[] = [
  [9, 9],
  [83, 12],
  [370, 50],
];
/** Demands before and after the jump, as fractions of the rate; this one has no jump. */
const CALM = [0.55, 0.55] as const;
const JUMP = [0.55, 3.3] as const;
const MAX_WINDOW_LOAD = 1.25;

function run(
  strategy: Strategy,
  nodes: number,
  targets: number,
  fault: Fault,
  demand: readonly [number, number],
): Promise<SimulationResult> {
  return new QuotaSimulation({ strategy, nodes, targets, fault, demand, seed: 7 }).run();
}

function describe(result: SimulationResult): string {
  const { worstWindow, wronglyRefused, messagesPerNodeSecond, bytesPerNodeSecond } = result;
  return (
    `window ${worstWindow.toFixed(2)}, wrongly refused ${wronglyRefused.toFixed(3)}, ` +
    `${messagesPerNodeSecond.toFixed(2)} messages and ${bytesPerNodeSecond.toFixed(0)} bytes per node-second`
  );
}

for (const [nodes, targets] of SIZES) {
  for (const fault of FAULTS) {
    test(`loans enforce a quota over ${nodes} nodes, fault: ${fault}`, async (t) => {
      for (const strategy of STRATEGIES) {
        const calm = await run(strategy, nodes, targets, fault, CALM);
        const jump = await run(strategy, nodes, targets, fault, JUMP);
        t.log(`${strategy}, calm: ${describe(calm)}`);
        t.log(`${strategy}, jump: ${describe(jump)}`);
        if (strategy !== 'loans of a home') continue;
        t.true(jump.worstWindow <= MAX_WINDOW_LOAD, `admitted ${jump.worstWindow} of what is allowed`);
        t.true(calm.worstWindow <= MAX_WINDOW_LOAD);
        t.true(calm.wronglyRefused <= (fault === 'none' ? 0.002 : 0.06), `refused ${calm.wronglyRefused}`);
      }
    });
  }
}

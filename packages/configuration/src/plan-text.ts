import type { Plan, PlanStep } from './plan.js';

const MAX_STEPS_PER_ACTION = 12;
const MAX_CALLERS_SHOWN = 4;

/**
 * Formats a plan for a terminal: for each action the number of steps and then the steps. Long lists are
 * truncated, with the number of omitted entries.
 */
export function formatPlan(plan: Plan): string {
  const lines = [`Plan from revision ${plan.fromRevision} to ${plan.toRevision}`];
  if (plan.steps.length === 0) lines.push('  nothing changes');
  for (const [action, steps] of groupByAction(plan.steps)) {
    lines.push(`${action} (${steps.length})`);
    for (const step of steps.slice(0, MAX_STEPS_PER_ACTION)) lines.push(`  ${formatStep(step)}`);
    if (steps.length > MAX_STEPS_PER_ACTION)
      lines.push(`  … and ${steps.length - MAX_STEPS_PER_ACTION} more (--json lists all)`);
  }
  if (plan.problems.length > 0) {
    lines.push(`cannot be met (${plan.problems.length}); fix these before confirming`);
    for (const problem of plan.problems) lines.push(`  ${problem.path}: ${problem.problem}`);
  }
  lines.push(`plan digest ${plan.digest}`);
  return lines.join('\n');
}

function groupByAction(steps: readonly PlanStep[]): Map<string, PlanStep[]> {
  const groups = new Map<string, PlanStep[]>();
  for (const step of steps) groups.set(step.action, [...(groups.get(step.action) ?? []), step]);
  return groups;
}

function formatStep(step: PlanStep): string {
  const shown = step.callers.slice(0, MAX_CALLERS_SHOWN).join(', ');
  const more =
    step.callers.length > MAX_CALLERS_SHOWN ? ` and ${step.callers.length - MAX_CALLERS_SHOWN} more` : '';
  const callers = step.callers.length === 0 ? '' : ` [callers: ${shown}${more}]`;
  return `${step.subject}: ${step.detail}${callers}`;
}

import { matchesSelector } from '@chervilseam/model';
import type { ConfigBody } from '@chervilseam/model';
import type { ConfigView } from '../config/config-view.js';
import type { RequestClass } from './request-class.js';
import type { RequestTarget } from './request-target.js';

const DEFAULT_PRIORITY = 50;
const DEFAULT_DEADLINE_MS = 30_000;
/** Methods that HTTP defines as idempotent; others are retried only if a policy allows it. */
const IDEMPOTENT_METHODS = ['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'TRACE'];

type Labels = Readonly<Record<string, string>>;
type Policy = ConfigBody<'policy'>;

function targetLabels(view: ConfigView, target: RequestTarget): Labels {
  if (target.kind === 'service') return view.services.get(target.service)?.labels ?? {};
  const adapter = target.adapter === undefined ? undefined : view.adapters.get(target.adapter);
  return { ...view.models.get(target.model)?.labels, ...adapter?.labels };
}

function applies(policy: Policy, target: RequestTarget, caller: Labels, labels: Labels): boolean {
  if (policy.callers && !matchesSelector(policy.callers, caller)) return false;
  const selector = target.kind === 'model' ? policy.models : policy.services;
  const other = target.kind === 'model' ? policy.services : policy.models;
  if (selector) return matchesSelector(selector, labels);
  return other === undefined;
}

const numbers = (values: readonly (number | undefined)[]): readonly number[] =>
  values.filter((value) => value !== undefined);

function isNonIdempotent(policies: readonly Policy[], target: RequestTarget): boolean {
  const declared = policies
    .map((policy) => policy.nonIdempotent)
    .filter((value) => value !== undefined);
  // One policy that forbids retries overrides all policies that allow them.
  if (declared.length > 0) return declared.includes(true);
  return target.kind === 'service' && !IDEMPOTENT_METHODS.includes(target.method);
}

/**
 * Combines all policies that select a request: the highest priority, the shortest deadline, and no
 * retries if any of them forbids retries.
 *
 * @param view - the active configuration
 * @param callerName - name of the caller
 * @param target - the model or service that is requested
 * @returns how to handle the request
 */
export function classifyRequest(
  view: ConfigView,
  callerName: string,
  target: RequestTarget,
): RequestClass {
  const callerLabels = view.callers.get(callerName)?.labels ?? {};
  const labels = targetLabels(view, target);
  const policies = [...view.policies.values()].filter((policy) =>
    applies(policy, target, callerLabels, labels),
  );
  const priorities = numbers(policies.map((policy) => policy.priority));
  const deadlines = numbers(policies.map((policy) => policy.deadlineMs));
  return {
    priority: priorities.length > 0 ? Math.max(...priorities) : DEFAULT_PRIORITY,
    deadlineMs: deadlines.length > 0 ? Math.min(...deadlines) : DEFAULT_DEADLINE_MS,
    isNonIdempotent: isNonIdempotent(policies, target),
    policies: policies.map((policy) => policy.name),
  };
}

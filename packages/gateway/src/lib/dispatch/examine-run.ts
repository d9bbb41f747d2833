import type { EndpointRecord } from '@chervilseam/model';
import type { EngineCalls } from '../ports/engine-calls.js';
import { probeProcess } from './probe-process.js';
import { ProcessState } from './process-state.js';

/**
 * Checks whether the process that a record describes is still running. An open port is not enough: the endpoint may
 * have restarted at the same address.
 *
 * @param calls - control calls to engines
 * @param record - the run
 * @returns the state of that process, unknown for an endpoint that doesn't report its start time; never rejects
 */
export const examineRun = async (
  calls: Pick<EngineCalls, 'report'>,
  record: EndpointRecord,
): Promise<ProcessState> => {
  const state = await probeProcess(record);
  if (state !== ProcessState.running) return state;
  try {
    const { bornMs } = await calls.report(record);
    if (bornMs === undefined) return ProcessState.unknown;
    return bornMs === record.bornMs ? ProcessState.running : ProcessState.ended;
  } catch {
    // No answer in time, or one that cannot be decoded.
    return ProcessState.unknown;
  }
};

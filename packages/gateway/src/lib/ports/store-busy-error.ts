import verror from 'verror';

/** The store refuses a call since there are too many; nothing was done, and the store itself is sound. */
export class StoreBusyError extends verror.VError {
  /** @param call - what was called */
  constructor(call: string) {
    super('store refused %s: too many calls', call);
    this.name = 'StoreBusyError';
  }
}

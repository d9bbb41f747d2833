import { EventEmitter } from 'node:events';
import { expect } from 'chai';
import { logUnexpectedErrors } from '../lib/log-unexpected-errors.js';

// A rejected promise without a handler ended a whole process: 'exits of its own' once on vaxverk-nord.
describe('logUnexpectedErrors', () => {
  it('logs each unhandled error with its stack, and handles values that are no errors', () => {
    const source = new EventEmitter();
    const logged: Record<string, unknown>[] = [];
    logUnexpectedErrors(source, {
      error: (event, _, fields = {}) => logged.push({ ...fields, logEvent: event }),
    });
    source.emit('unhandledRejection', new Error('no owner'));
    source.emit('uncaughtException', 'text');
    expect(logged).to.have.lengthOf(2);
    expect(logged[0]).to.include({
      logEvent: 'unexpected_error',
      event: 'unhandledRejection',
      message: 'no owner',
    });
    expect(logged[0].stack).to.contain('log-unexpected-errors_test');
    expect(logged[1]).to.include({ event: 'uncaughtException', message: 'text' });
  });
});

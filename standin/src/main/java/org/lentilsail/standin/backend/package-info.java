/** Stand-in for the backend server of a worker, with a journal of its runs and injected faults. */
package org.lentilsail.standin.backend;
